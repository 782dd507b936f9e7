package org.springmill.control.workers;

import java.util.HashSet;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.springmill.control.cluster.Fleet;
import org.springmill.control.cluster.Job;
import org.springmill.control.cluster.JobFailures;
import org.springmill.control.cluster.Machine;
import org.springmill.control.cluster.TaskAttempt;
import org.springmill.control.metrics.Metrics;
import org.springmill.control.timing.Timeouts;
import org.springmill.protocol.WorkerMessages.ExitCause;
import org.springmill.protocol.WorkerMessages.Heartbeat;
import org.springmill.protocol.WorkerMessages.TaskStatus;

/** Applies the task statuses of a heartbeat to the attempts that the cluster state knows. */
final class TaskStatusHandler {
    private static final Logger LOG = LoggerFactory.getLogger(TaskStatusHandler.class);

    /** The shortest backoff of a job that fails is a lease divided by this. */
    private static final double BACKOFFS_PER_LEASE = 4;

    private final Fleet fleet;
    private final Timeouts timeouts;
    private final Metrics metrics;

    TaskStatusHandler(Fleet fleet, Timeouts timeouts, Metrics metrics) {
        this.fleet = fleet;
        this.timeouts = timeouts;
        this.metrics = metrics;
    }

    /**
     * Applies all task statuses of a heartbeat.
     *
     * @return the attempts that the heartbeat reports, in any state
     */
    Set<TaskAttempt> apply(Machine machine, Heartbeat heartbeat, double now) {
        Set<TaskAttempt> reported = new HashSet<>();
        for (TaskStatus status : heartbeat.tasks()) {
            TaskAttempt attempt = machine.findAttempt(status);
            if (attempt != null) {
                reported.add(attempt);
                attempt.recordStatusReported(now);
                apply(machine, attempt, status, now);
            }
        }
        return reported;
    }

    private void apply(Machine machine, TaskAttempt attempt, TaskStatus status, double now) {
        switch (status.state()) {
            case FETCHING -> applyFetching(machine, attempt, now);
            case RUNNING -> applyRunning(machine, attempt, now);
            case SAVING -> applySaving(attempt, now);
            case EXITED -> applyExited(machine, attempt, status.cause(), now);
        }
    }

    private static void applyFetching(Machine machine, TaskAttempt attempt, double now) {
        switch (attempt.state()) {
            case SENT, UNKNOWN -> {
                attempt.transition(TaskAttempt.State.FETCHING, now);
                machine.recordImageNeeded(attempt.job().spec(), now);
            }
            default -> {}
        }
    }

    private void applyRunning(Machine machine, TaskAttempt attempt, double now) {
        switch (attempt.state()) {
            case SENT, FETCHING -> {
                metrics.recordTaskStart(attempt.claimedAt());
                recordRunning(machine, attempt, now);
            }
            // The time of its start is unknown, so it is not measured.
            case UNKNOWN -> recordRunning(machine, attempt, now);
            default -> {}
        }
    }

    private static void recordRunning(Machine machine, TaskAttempt attempt, double now) {
        attempt.transition(TaskAttempt.State.RUNNING, now);
        machine.recordImageUsed(attempt.job().spec(), now);
        if (attempt.job().spec().isService()) {
            machine.taskSucceeded();
        }
    }

    private void applySaving(TaskAttempt attempt, double now) {
        if (attempt.state() == TaskAttempt.State.UNKNOWN) {
            attempt.transition(TaskAttempt.State.STOPPING, now);
            fleet.clusterState().recordStopRequested(attempt);
        }
    }

    private void applyExited(Machine machine, TaskAttempt attempt, ExitCause cause, double now) {
        if (attempt.state() == TaskAttempt.State.ENDED
                || attempt.state() == TaskAttempt.State.CLAIMING) {
            return;
        }
        switch (cause) {
            case DONE -> {
                machine.taskSucceeded();
                attempt.job().failures().recordSuccess();
            }
            case ERROR -> handleFailure(machine, attempt, now);
            case NO_ROOM, BUSY, UNKNOWN_JOB -> {
                LOG.info(
                        "task {} refused by worker {}: {}; no new work there for {} s",
                        attempt.claim().task(),
                        machine.name(),
                        cause,
                        timeouts.heartbeatIntervalSeconds());
                machine.cordonUntil(now + timeouts.heartbeatIntervalSeconds());
            }
            default -> {}
        }
        fleet.end(attempt, cause);
    }

    private void handleFailure(Machine machine, TaskAttempt attempt, double now) {
        LOG.info("task {} failed on machine {}", attempt.claim().task(), machine.name());
        recordJobFailure(machine, attempt, now);
        boolean wasQuarantined = machine.isQuarantined();
        machine.taskFailed(attempt.job());
        if (!wasQuarantined && machine.isQuarantined()) {
            LOG.warn("machine {} quarantined: tasks of several jobs failed on it", machine.name());
        }
    }

    private void recordJobFailure(Machine machine, TaskAttempt attempt, double now) {
        Job job = attempt.job();
        JobFailures failures = job.failures();
        if (job.spec().isService() && hasOtherHealthyReplica(job, attempt, now)) {
            failures.recordOtherTasksHealthy();
        }
        boolean wasSuspect = failures.isSuspect();
        failures.recordFailure(
                machine.name(),
                attempt.claimedAt(),
                now,
                timeouts.workerLeaseSeconds() / BACKOFFS_PER_LEASE);
        if (!wasSuspect && failures.isSuspect()) {
            metrics.recordSuspectJob();
            LOG.warn("{} failed on several machines: retried with backoff, few tasks", job.id());
        }
    }

    /** Whether another replica has run for a whole lease: then the job itself works. */
    private boolean hasOtherHealthyReplica(Job job, TaskAttempt failed, double now) {
        return job.attempts().stream()
                .anyMatch(
                        other ->
                                other != failed
                                        && other.runningSeconds(now)
                                                > timeouts.workerLeaseSeconds());
    }
}
