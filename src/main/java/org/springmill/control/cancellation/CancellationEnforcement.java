package org.springmill.control.cancellation;

import org.springmill.control.cluster.CloudClient;
import org.springmill.control.jobs.CancellationGate;
import org.springmill.control.membership.Peers;
import org.springmill.control.storage.KeyValueStoreClient;
import org.springmill.control.storage.StoredClaims;
import org.springmill.control.timing.Timeouts;
import org.springmill.protocol.Settings;
import org.springmill.transport.EventLoop;
import org.springmill.transport.HttpClient;

/** Wires the parts of this package for one controller. */
public final class CancellationEnforcement {
    /** Cancellations are remembered for this multiple of their deadline. */
    private static final double REMEMBER_DEADLINES = 2;

    private final Peers peers;
    private final CancellationAssurance assurance;
    private final CancelledTaskDeletion deletion;
    private final CancellationCatchUp catchUp;
    private final PartitionedZoneFencing fencing;

    /**
     * Creates the enforcement of one controller, which sends nothing before {@link #start}.
     *
     * @param leaderKnowledge what this controller knows as the leader
     */
    public CancellationEnforcement(
            LeaderKnowledge leaderKnowledge,
            KeyValueStoreClient store,
            Peers peers,
            HttpClient http,
            EventLoop loop,
            Settings settings,
            Timeouts timeouts) {
        this.peers = peers;
        CancelledTasks cancelledTasks = new CancelledTasks();
        CloudClient cloud = new CloudClient(http, loop, settings, timeouts);
        double deadline = settings.workers().cancellationDeadlineSeconds();
        assurance =
                new CancellationAssurance(
                        cancelledTasks,
                        leaderKnowledge,
                        new StoredClaims(store),
                        peers,
                        loop,
                        timeouts,
                        deadline + 2 * settings.skewSeconds());
        deletion =
                new CancelledTaskDeletion(
                        cancelledTasks,
                        leaderKnowledge,
                        peers,
                        cloud,
                        loop,
                        timeouts,
                        deadline * REMEMBER_DEADLINES);
        catchUp =
                new CancellationCatchUp(
                        cancelledTasks, leaderKnowledge, peers, loop, timeouts, deadline);
        fencing = new PartitionedZoneFencing(catchUp, store, peers, cloud, loop, timeouts);
    }

    /** Starts answering the other controllers and checking for overdue tasks. */
    public void start() {
        peers.onCancelledTaskQuery(assurance::queryReceived);
        peers.onCancelledTaskMachines(assurance::machinesReceived);
        peers.onCatchUpRequest(catchUp::requestReceived);
        peers.onCatchUpResponse(catchUp::responseReceived);
        deletion.run();
        fencing.run();
    }

    /** Records that a worker sent a heartbeat to this controller. */
    public void heartbeatReceived(String machine) {
        fencing.heartbeatReceived(machine);
    }

    /** Decides when users may be told that a job is cancelled. */
    public CancellationGate gate() {
        return assurance;
    }
}
