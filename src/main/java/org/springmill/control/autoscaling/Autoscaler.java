package org.springmill.control.autoscaling;

import org.springmill.control.cluster.CloudClient;
import org.springmill.control.cluster.Fleet;
import org.springmill.control.cluster.Machine;
import org.springmill.control.membership.Peers;
import org.springmill.control.scheduling.Placement;
import org.springmill.control.timing.Timeouts;
import org.springmill.protocol.Settings;
import org.springmill.transport.EventLoop;
import org.springmill.transport.HttpClient;

/**
 * Scales the fleet out and in during one leader's term: requests machines for waiting and expected
 * tasks, and deletes machines that are unusable or idle. Creates the components and calls them in
 * order.
 *
 * <p>All methods run on the leader's event loop.
 */
public final class Autoscaler {
    private final EventLoop loop;
    private final CloudClient cloud;
    private final MachineDeletion deletion;
    private final MachineListing listing;
    private final HeartbeatMonitor heartbeats;
    private final PartitionedZones partitions;
    private final OverdueBoots overdueBoots;
    private final MachineHealth health;
    private final ScaleOutRequests scaleOutRequests;
    private final ScaleOutPlanner scaleOutPlanner;

    /**
     * Creates the autoscaler of one leader's term; nothing is sent before {@link #start}.
     *
     * @param arrivalRates the rates at which tasks of each class arrive
     * @param peers the other controllers, whose responses distinguish partitions from failures
     * @param changed run after machines were listed or deleted
     */
    public Autoscaler(
            Fleet fleet,
            Placement placement,
            ArrivalRateEstimator arrivalRates,
            Peers peers,
            HttpClient http,
            EventLoop loop,
            Settings settings,
            Timeouts timeouts,
            Runnable changed) {
        this.loop = loop;
        double now = loop.now();
        cloud = new CloudClient(http, loop, settings, timeouts);
        deletion = new MachineDeletion(fleet, cloud, loop, changed);
        listing = new MachineListing(fleet, cloud, deletion, loop, settings, changed);
        UnlistedMachines unlistedMachines = new UnlistedMachines(listing, now);
        heartbeats = new HeartbeatMonitor(unlistedMachines, timeouts, now);
        partitions =
                new PartitionedZones(fleet, peers, unlistedMachines, heartbeats, timeouts, now);
        overdueBoots = new OverdueBoots(fleet, partitions, timeouts);
        health =
                new MachineHealth(
                        fleet,
                        unlistedMachines,
                        heartbeats,
                        partitions,
                        overdueBoots,
                        deletion,
                        settings,
                        timeouts,
                        now);
        scaleOutRequests = new ScaleOutRequests(fleet, cloud, overdueBoots, loop);
        SchedulableFleet schedulableFleet =
                new SchedulableFleet(
                        fleet, partitions, overdueBoots, scaleOutRequests, settings, timeouts);
        scaleOutPlanner =
                new ScaleOutPlanner(
                        listing,
                        schedulableFleet,
                        new WaitingDemand(fleet, placement, settings),
                        new Headroom(fleet, arrivalRates, settings),
                        scaleOutRequests,
                        new IdleMachines(deletion, overdueBoots, settings),
                        new MachineDraining(fleet, arrivalRates, heartbeats, timeouts, now),
                        now);
    }

    /**
     * Starts listing machines; none is requested or deleted before the first complete list.
     *
     * @param firstTerm whether no earlier leader can have requested any machine
     */
    public void start(boolean firstTerm) {
        scaleOutPlanner.start(firstTerm);
        listing.start();
    }

    /** Stops all requests to the cloud at the end of the leader's term. */
    public void close() {
        cloud.close();
    }

    /** Number of machines that take longer to boot than others of their type and zone. */
    public int overdueMachines() {
        return overdueBoots.count();
    }

    /** Restarts the heartbeat timeouts of all machines after a pause of this process. */
    public void processResumed() {
        heartbeats.restart(loop.now());
    }

    /** Deletes machines that are unusable or idle, and requests machines for unmet demand. */
    public void tick() {
        if (cloud.isClosed() || !listing.hasListed()) {
            return;
        }
        double now = loop.now();
        partitions.update(now);
        overdueBoots.update(now);
        health.deleteUnusable(now);
        scaleOutRequests.removeExpiredRefusals(now);
        scaleOutPlanner.plan(now);
    }

    /**
     * Deletes a machine, unless its deletion was requested before. Only the cloud's confirmation
     * proves that its tasks have ended.
     *
     * @param reason text for the log
     */
    public void deleteMachine(Machine machine, String reason) {
        deletion.delete(machine, reason);
    }
}
