package org.springmill.control.recall;

import java.util.List;
import org.springmill.control.cluster.Job;
import org.springmill.control.cluster.TaskAttempt;
import org.springmill.protocol.Resources;

/**
 * Tasks that can only be stopped together: one task, or the members of a gang.
 *
 * @param attemptsOnMachine those on the machine that is evaluated
 * @param loss resources that their team loses on all machines
 */
record VictimUnit(Job job, List<TaskAttempt> attemptsOnMachine, Resources loss) {
    static VictimUnit ofTask(TaskAttempt attempt) {
        return new VictimUnit(attempt.job(), List.of(attempt), Resources.of(attempt.job().spec()));
    }

    static VictimUnit ofGang(Job gang, List<TaskAttempt> onMachine) {
        Resources loss = Resources.of(gang.spec()).times(gang.attemptCount());
        return new VictimUnit(gang, onMachine, loss);
    }

    /** All attempts that end if this unit is stopped. */
    List<TaskAttempt> stoppedAttempts() {
        return job.spec().isGang() ? job.attempts() : attemptsOnMachine;
    }
}
