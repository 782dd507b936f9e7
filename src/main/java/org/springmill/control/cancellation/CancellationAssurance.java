package org.springmill.control.cancellation;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.springmill.control.jobs.CancellationGate;
import org.springmill.control.membership.Peers;
import org.springmill.control.storage.JobRecord;
import org.springmill.control.storage.StoredClaims;
import org.springmill.control.storage.StoredClaims.ClaimedMachines;
import org.springmill.control.timing.Timeouts;
import org.springmill.protocol.PeerMessages.CancelledTaskMachines;
import org.springmill.protocol.PeerMessages.CancelledTaskQuery;
import org.springmill.transport.EventLoop;

/**
 * Lets users be told that a job is cancelled once the machines of its tasks are known here: from
 * the leader, which stops the tasks, or, if no leader answers, from the claims in the key-value
 * store. Otherwise the only controller that knows them may be a leader in a partitioned zone, which
 * does not learn of the cancellation. docs/design.md, claim 8.7, has the argument.
 */
final class CancellationAssurance implements CancellationGate {
    private static final Logger LOG = LoggerFactory.getLogger(CancellationAssurance.class);

    /**
     * How long users wait at most, in store request timeouts: for the leader, then for the store.
     */
    private static final double MAX_WAIT_STORE_TIMEOUTS = 2;

    private final CancelledTasks cancelledTasks;
    private final LeaderKnowledge leaderKnowledge;
    private final StoredClaims storedClaims;
    private final Peers peers;
    private final EventLoop loop;
    private final Timeouts timeouts;
    private final double certainAfterSeconds;
    private final Map<String, PendingAnswer> pendingByJob = new HashMap<>();

    /** The requests that wait for the machines of one job. */
    private static final class PendingAnswer {
        private final String job;
        private final List<Consumer<Boolean>> waiting = new ArrayList<>();
        private boolean isAnswered;

        PendingAnswer(String job) {
            this.job = job;
        }
    }

    /**
     * Creates the assurance of one controller.
     *
     * @param certainAfterSeconds age of a cancellation, by the time of day, from which users are
     *     told without further condition
     */
    CancellationAssurance(
            CancelledTasks cancelledTasks,
            LeaderKnowledge leaderKnowledge,
            StoredClaims storedClaims,
            Peers peers,
            EventLoop loop,
            Timeouts timeouts,
            double certainAfterSeconds) {
        this.cancelledTasks = cancelledTasks;
        this.leaderKnowledge = leaderKnowledge;
        this.storedClaims = storedClaims;
        this.peers = peers;
        this.loop = loop;
        this.timeouts = timeouts;
        this.certainAfterSeconds = certainAfterSeconds;
    }

    @Override
    public void await(JobRecord cancelled, Consumer<Boolean> done) {
        String job = cancelled.id();
        boolean isOld = loop.timeOfDay() - cancelled.endedAt() > certainAfterSeconds;
        if (isOld || cancelledTasks.knows(job) || announceAsLeader(job)) {
            done.accept(true);
            return;
        }
        PendingAnswer pending = pendingByJob.get(job);
        if (pending == null) {
            pending = new PendingAnswer(job);
            pendingByJob.put(job, pending);
            askLeader(pending);
        }
        pending.waiting.add(done);
    }

    /** As the leader, tells the other controllers where the tasks of a cancelled job may be. */
    private boolean announceAsLeader(String job) {
        Optional<List<String>> machines = leaderKnowledge.machinesOfCancelled(job);
        machines.ifPresent(known -> learn(job, known));
        return machines.isPresent();
    }

    private void learn(String job, List<String> machines) {
        cancelledTasks.set(job, machines, loop.now());
        peers.broadcastCancelledTaskMachines(job, machines);
    }

    private void askLeader(PendingAnswer pending) {
        peers.queryCancelledTasks(pending.job);
        loop.after(timeouts.cancellationQueryTimeoutSeconds(), () -> readClaims(pending));
        loop.after(
                timeouts.storeRequestTimeoutSeconds() * MAX_WAIT_STORE_TIMEOUTS,
                () -> complete(pending, false));
    }

    private void readClaims(PendingAnswer pending) {
        if (!pending.isAnswered) {
            storedClaims.read(claimed -> claimsRead(pending, claimed));
        }
    }

    private void claimsRead(PendingAnswer pending, Optional<ClaimedMachines> claimed) {
        if (pending.isAnswered) {
            return;
        }
        if (claimed.isPresent()) {
            String job = pending.job;
            List<String> machines = claimed.get().of(job);
            LOG.info(
                    "no leader answers for cancelled job {}: its tasks may be on machines {};"
                            + " they are deleted if no leader stops the tasks",
                    job,
                    machines);
            learn(job, machines);
        }
        complete(pending, claimed.isPresent());
    }

    private void complete(PendingAnswer pending, boolean certain) {
        if (!pending.isAnswered) {
            pending.isAnswered = true;
            pendingByJob.remove(pending.job);
            pending.waiting.forEach(done -> done.accept(certain));
        }
    }

    /** Handles a query of another controller; only the leader answers. */
    void queryReceived(CancelledTaskQuery query) {
        announceAsLeader(query.job());
    }

    /** Handles the machines that another controller has sent. */
    void machinesReceived(CancelledTaskMachines message) {
        if (message.continued()) {
            cancelledTasks.add(message.job(), message.machines(), loop.now());
        } else {
            cancelledTasks.set(message.job(), message.machines(), loop.now());
        }
        PendingAnswer pending = pendingByJob.get(message.job());
        if (pending != null) {
            complete(pending, true);
        }
    }
}
