package org.springmill.control.workers;

import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.springmill.control.cluster.Fleet;
import org.springmill.control.cluster.Machine;
import org.springmill.control.cluster.MessagePosition;
import org.springmill.control.cluster.TaskAttempt;
import org.springmill.control.metrics.Metrics;
import org.springmill.protocol.WorkerMessages.Heartbeat;

/**
 * Notices that a worker's process has been replaced by another one on the same machine
 * (docs/design.md, section 5.3). The new one has no tasks and no token. Its heartbeats look like
 * delayed duplicates of earlier ones, so the worker is asked ({@link
 * CommandDispatcher#checkProcess}): the answer to a request of the leader's own is no duplicate.
 */
final class WorkerRestarts {
    private static final Logger LOG = LoggerFactory.getLogger(WorkerRestarts.class);

    private final Fleet fleet;
    private final Metrics metrics;

    WorkerRestarts(Fleet fleet, Metrics metrics) {
        this.fleet = fleet;
        this.metrics = metrics;
    }

    /**
     * Whether the answer to a request shows that the worker's process has been replaced. If so, the
     * worker is asked again under a higher token, and only what it answers then is proof.
     *
     * @param latestBefore the place of the newest message that had arrived before the request
     */
    boolean isNoticedInAnswer(Machine machine, Heartbeat answer, MessagePosition latestBefore) {
        boolean isOfAnother =
                latestBefore.isOfAnotherProcess(answer)
                        || machine.workerEpoch().hasLostToken(answer);
        if (!isOfAnother) {
            return false;
        }
        if (machine.workerEpoch().isOfPresentProcess(latestBefore)) {
            recordRestart(machine, answer, latestBefore);
        }
        return true;
    }

    /** Whether a heartbeat shows that the worker's process has been replaced. */
    boolean isNoticedInHeartbeat(Machine machine, Heartbeat heartbeat) {
        boolean isNoticed = machine.workerEpoch().isOfNewProcess(heartbeat);
        if (isNoticed) {
            recordRestart(machine, heartbeat, machine.workerEpoch().latestPosition());
        }
        return isNoticed;
    }

    private void recordRestart(Machine machine, Heartbeat answer, MessagePosition latestBefore) {
        LOG.warn(
                "worker {} runs in a new process: epoch {}, sequence {} after {}.{}; all tasks of the earlier one have ended",
                machine.name(),
                answer.epoch(),
                answer.sequence(),
                latestBefore.epoch(),
                latestBefore.sequence());
        metrics.recordWorkerRestart();
        machine.workerEpoch().beginProcess(answer, fleet.now());
        machine.commandChannel().requestStatus();
    }

    /**
     * Has attempts settled that an accepted heartbeat lacks although an earlier one had them: a
     * process lists a task until it is told to forget it. The token is raised, so that the next
     * message proves their end.
     */
    void settleMissing(Machine machine, Heartbeat heartbeat, Set<TaskAttempt> reported) {
        for (TaskAttempt attempt : machine.attempts()) {
            if (isListed(attempt) && !reported.contains(attempt)) {
                LOG.warn(
                        "worker {} no longer has task {}: its process has been replaced; fencing token raised above {}",
                        machine.name(),
                        attempt.claim().task(),
                        heartbeat.fencingToken());
                machine.workerEpoch().raiseFencingToken();
                machine.commandChannel().requestStatus();
                return;
            }
        }
    }

    private static boolean isListed(TaskAttempt attempt) {
        return attempt.state() == TaskAttempt.State.FETCHING
                || attempt.state() == TaskAttempt.State.RUNNING;
    }
}
