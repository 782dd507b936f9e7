package org.springmill.control.workers;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.BooleanSupplier;
import org.springmill.control.cluster.Fleet;
import org.springmill.control.cluster.Machine;
import org.springmill.control.cluster.TaskAttempt;
import org.springmill.protocol.CommandBatchBuilder;
import org.springmill.protocol.WorkerMessages.Command;
import org.springmill.protocol.WorkerMessages.Forget;
import org.springmill.protocol.WorkerMessages.Start;
import org.springmill.protocol.WorkerMessages.Stop;
import org.springmill.protocol.WorkerMessages.TaskState;
import org.springmill.protocol.WorkerMessages.TaskStatus;

/**
 * Derives the commands to a worker from the difference between its reported tasks and the cluster
 * state. There is no queue: a command becomes due again until the worker's heartbeat confirms it.
 */
final class DueCommands {
    private static final double NO_GRACE = 0;

    private final Fleet fleet;
    private final double resendIntervalSeconds;
    private final BooleanSupplier mayStartTasks;

    /**
     * @param mayStartTasks whether the leader may act for the controllers now
     * @param resendIntervalSeconds how long after it was sent an unconfirmed command is due again
     */
    DueCommands(Fleet fleet, double resendIntervalSeconds, BooleanSupplier mayStartTasks) {
        this.fleet = fleet;
        this.resendIntervalSeconds = resendIntervalSeconds;
        this.mayStartTasks = mayStartTasks;
    }

    /**
     * Returns the commands that are due now, as many as one message may carry, and schedules when
     * each is due again. Raises the worker's fencing token if an earlier start command could still
     * arrive and must be rejected.
     */
    List<Command> collect(Machine machine) {
        double now = fleet.now();
        CommandBatchBuilder commands = new CommandBatchBuilder();
        boolean raiseToken = addStops(machine, now, commands);
        raiseToken |= addCleanupCommands(machine, now, commands);
        if (raiseToken) {
            machine.workerEpoch().raiseFencingToken();
        }
        addStarts(machine, now, commands);
        return commands.build();
    }

    /**
     * Adds stop commands, and requests a status for attempts whose state is unknown.
     *
     * @return whether the fencing token has to be raised
     */
    private boolean addStops(Machine machine, double now, CommandBatchBuilder commands) {
        boolean raiseToken = false;
        for (TaskAttempt attempt : machine.attempts()) {
            if (now < attempt.nextSendAt() || !isToBeSettled(attempt)) {
                continue;
            }
            if (attempt.state() == TaskAttempt.State.UNKNOWN) {
                machine.commandChannel().requestStatus();
            } else if (!commands.add(stopCommand(attempt))) {
                break;
            }
            attempt.scheduleResend(now + resendIntervalSeconds);
            raiseToken |= mayStartStillArrive(machine, attempt);
        }
        return raiseToken;
    }

    private static boolean isToBeSettled(TaskAttempt attempt) {
        return attempt.state() == TaskAttempt.State.STOPPING
                || attempt.state() == TaskAttempt.State.UNKNOWN;
    }

    /**
     * Whether the start command may be sent. If it was sent to an earlier epoch it may not: the
     * task must not start again under the same attempt. Nor may it if the leader's right to act has
     * lapsed since the claim was committed.
     */
    private boolean isStartDue(Machine machine, TaskAttempt attempt) {
        boolean isClaimed =
                attempt.state() == TaskAttempt.State.CLAIMED
                        || attempt.state() == TaskAttempt.State.SENT;
        boolean isForThisEpoch =
                attempt.startEpoch() == 0 || attempt.startEpoch() == machine.epoch();
        return isClaimed && isForThisEpoch && mayStartTasks.getAsBoolean();
    }

    private static Stop stopCommand(TaskAttempt attempt) {
        return new Stop(attempt.claim().task(), attempt.claim().round(), attempt.graceSeconds());
    }

    /**
     * Whether a start command for the attempt may still be in transit. If so, the attempt's absence
     * from a heartbeat proves its end only under a higher fencing token (claim 6.1).
     */
    private static boolean mayStartStillArrive(Machine machine, TaskAttempt attempt) {
        return attempt.highestStartToken() >= machine.fencingToken();
    }

    /**
     * Adds commands for reported tasks that the cluster state does not know: a task that has exited
     * is to be forgotten, any other is to be stopped.
     *
     * @return whether the fencing token has to be raised: a worker that has forgotten an attempt
     *     would run it again if a delayed start command arrived, so that is rejected first
     */
    private boolean addCleanupCommands(Machine machine, double now, CommandBatchBuilder commands) {
        if (!machine.commandChannel().isCleanupDue(now) || machine.areReportedTasksKnown()) {
            return false;
        }
        boolean raiseToken = false;
        boolean allKnown = true;
        for (TaskStatus status : machine.reportedTasks()) {
            if (machine.findAttempt(status) != null) {
                continue;
            }
            allKnown = false;
            machine.commandChannel().postponeCleanupUntil(now + resendIntervalSeconds);
            if (!commands.add(cleanupCommand(status))) {
                break;
            }
            raiseToken |= status.state() == TaskState.EXITED;
        }
        if (allKnown) {
            machine.markReportedTasksKnown();
        }
        return raiseToken;
    }

    private static Command cleanupCommand(TaskStatus status) {
        return status.state() == TaskState.EXITED
                ? new Forget(status.task(), status.attempt())
                : new Stop(status.task(), status.attempt(), NO_GRACE);
    }

    /**
     * Adds start commands, smallest image first: workers fetch in this order, and a small image
     * delays a large one least.
     */
    private void addStarts(Machine machine, double now, CommandBatchBuilder commands) {
        List<TaskAttempt> due = new ArrayList<>();
        for (TaskAttempt attempt : machine.attempts()) {
            if (now >= attempt.nextSendAt() && isStartDue(machine, attempt)) {
                due.add(attempt);
            }
        }
        due.sort(Comparator.comparingDouble(attempt -> attempt.job().spec().imageGb()));
        for (TaskAttempt attempt : due) {
            Start start = new Start(attempt.claim().task(), attempt.claim().round());
            if (!commands.add(start)) {
                return;
            }
            recordStart(machine, attempt, now);
        }
    }

    private void recordStart(Machine machine, TaskAttempt attempt, double now) {
        if (attempt.state() == TaskAttempt.State.CLAIMED) {
            attempt.transition(TaskAttempt.State.SENT, now);
        }
        attempt.scheduleResend(now + resendIntervalSeconds);
        attempt.recordStartSent(machine.fencingToken(), machine.epoch());
    }
}
