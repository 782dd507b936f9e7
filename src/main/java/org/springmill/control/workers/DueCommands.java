package org.springmill.control.workers;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.BooleanSupplier;
import org.springmill.control.cluster.Fleet;
import org.springmill.control.cluster.Machine;
import org.springmill.control.cluster.TaskAttempt;
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
     * Returns the commands that are due now, and schedules when each is due again. Raises the
     * worker's fencing token if an earlier start command could still arrive and must be rejected.
     */
    List<Command> collect(Machine machine) {
        double now = fleet.now();
        List<TaskAttempt> starts = new ArrayList<>();
        List<Command> commands = new ArrayList<>();
        boolean raiseToken = false;
        for (TaskAttempt attempt : machine.attempts()) {
            if (now < attempt.nextSendAt()) {
                continue;
            }
            switch (attempt.state()) {
                case CLAIMED, SENT -> {
                    if (isStartDue(machine, attempt)) {
                        recordStartDue(attempt, now);
                        starts.add(attempt);
                    }
                }
                case STOPPING -> {
                    attempt.scheduleResend(now + resendIntervalSeconds);
                    commands.add(stopCommand(attempt));
                    raiseToken |= mayStartStillArrive(machine, attempt);
                }
                case UNKNOWN -> {
                    attempt.scheduleResend(now + resendIntervalSeconds);
                    machine.commandChannel().requestStatus();
                    raiseToken |= mayStartStillArrive(machine, attempt);
                }
                default -> {}
            }
        }
        raiseToken |= addCleanupCommands(machine, now, commands);
        if (raiseToken) {
            machine.workerEpoch().raiseFencingToken();
        }
        addStarts(machine, starts, commands);
        return commands;
    }

    /**
     * Whether the start command may be sent. If it was sent to an earlier epoch it may not: the
     * task must not start again under the same attempt. Nor may it if the leader's right to act has
     * lapsed since the claim was committed.
     */
    private boolean isStartDue(Machine machine, TaskAttempt attempt) {
        boolean isForThisEpoch =
                attempt.startEpoch() == 0 || attempt.startEpoch() == machine.epoch();
        return isForThisEpoch && mayStartTasks.getAsBoolean();
    }

    private void recordStartDue(TaskAttempt attempt, double now) {
        if (attempt.state() == TaskAttempt.State.CLAIMED) {
            attempt.transition(TaskAttempt.State.SENT, now);
        }
        attempt.scheduleResend(now + resendIntervalSeconds);
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
    private boolean addCleanupCommands(Machine machine, double now, List<Command> commands) {
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
            if (status.state() == TaskState.EXITED) {
                commands.add(new Forget(status.task(), status.attempt()));
                raiseToken = true;
            } else {
                commands.add(new Stop(status.task(), status.attempt(), NO_GRACE));
            }
        }
        if (allKnown) {
            machine.markReportedTasksKnown();
        }
        return raiseToken;
    }

    /**
     * Adds start commands, smallest image first: workers fetch in this order, and a small image
     * delays a large one least.
     */
    private static void addStarts(
            Machine machine, List<TaskAttempt> starts, List<Command> commands) {
        starts.sort(Comparator.comparingDouble(attempt -> attempt.job().spec().imageGb()));
        for (TaskAttempt attempt : starts) {
            attempt.recordStartSent(machine.fencingToken(), machine.epoch());
            commands.add(new Start(attempt.claim().task(), attempt.claim().round()));
        }
    }
}
