package org.springmill.control.autoscaling;

import java.util.ArrayList;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.springmill.control.cluster.CloudClient;
import org.springmill.control.cluster.Fleet;
import org.springmill.control.cluster.Machine;
import org.springmill.control.cluster.TaskAttempt;
import org.springmill.protocol.CloudMessages;
import org.springmill.protocol.WorkerMessages.ExitCause;
import org.springmill.transport.EventLoop;
import org.springmill.transport.HttpClient.Reply;

/**
 * Deletes machines through the cloud. Only the cloud's confirmation proves that a machine is
 * deleted and its tasks have ended. Dozens of machines may fail or become idle together and the
 * cloud limits the rate of requests, so pending deletions share one request.
 */
final class MachineDeletion {
    private static final Logger LOG = LoggerFactory.getLogger(MachineDeletion.class);

    private final Fleet fleet;
    private final CloudClient cloud;
    private final EventLoop loop;
    private final Runnable onDeleted;
    private final List<Machine> queue = new ArrayList<>();

    /**
     * @param onDeleted run after the cloud has confirmed a batch of deletions
     */
    MachineDeletion(Fleet fleet, CloudClient cloud, EventLoop loop, Runnable onDeleted) {
        this.fleet = fleet;
        this.cloud = cloud;
        this.loop = loop;
        this.onDeleted = onDeleted;
    }

    /** Deletes a machine, unless its deletion was requested before. */
    void delete(Machine machine, DeletionReason reason) {
        delete(machine, reason.text());
    }

    /**
     * Deletes a machine, unless its deletion was requested before.
     *
     * @param reason text for the log
     */
    void delete(Machine machine, String reason) {
        if (isDeletionRequested(machine)) {
            return;
        }
        LOG.info("deleting machine {}: {}", machine.name(), reason);
        machine.transition(Machine.State.TERMINATING);
        enqueue(machine);
    }

    /** Records the end of all task attempts of a machine that is known to have stopped. */
    void closeAttempts(Machine machine) {
        for (TaskAttempt attempt : machine.attemptsSnapshot()) {
            fleet.end(attempt, ExitCause.NONE);
        }
    }

    private static boolean isDeletionRequested(Machine machine) {
        return machine.state() == Machine.State.TERMINATING
                || machine.state() == Machine.State.TERMINATED;
    }

    private void enqueue(Machine machine) {
        queue.add(machine);
        boolean sendingIsScheduled = queue.size() > 1;
        if (!sendingIsScheduled) {
            loop.after(cloud.secondsUntil(1), this::sendBatch);
        }
    }

    private void sendBatch() {
        if (cloud.isClosed()) {
            return;
        }
        List<Machine> batch = takeBatch();
        if (!queue.isEmpty()) {
            // This batch takes one request, so the next one is due when the rate limit allows two.
            loop.after(cloud.secondsUntil(2), this::sendBatch);
        }
        List<String> names = batch.stream().map(Machine::name).toList();
        cloud.delete(names, reply -> responseReceived(batch, reply));
    }

    private List<Machine> takeBatch() {
        int size = Math.min(queue.size(), CloudMessages.MAX_DELETIONS);
        List<Machine> batch = new ArrayList<>(queue.subList(0, size));
        queue.removeAll(batch);
        return batch;
    }

    private void responseReceived(List<Machine> batch, Reply reply) {
        if (cloud.isClosed()) {
            return;
        }
        if (reply.ok()) {
            batch.forEach(this::confirmDeleted);
            onDeleted.run();
        } else {
            loop.after(cloud.retryIntervalSeconds(), () -> batch.forEach(this::enqueue));
        }
    }

    private void confirmDeleted(Machine machine) {
        fleet.recordDeleted(machine);
        closeAttempts(machine);
        machine.transition(Machine.State.TERMINATED);
    }
}
