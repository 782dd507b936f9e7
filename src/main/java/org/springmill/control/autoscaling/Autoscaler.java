package org.springmill.control.autoscaling;

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
 * tasks, and deletes machines that are unusable or idle. The parts that decide and act are wired up
 * here.
 *
 * <p>All methods run on the leader's event loop.
 */
public final class Autoscaler {
    private final EventLoop loop;
    private final CloudClient cloud;
    private final MachineDeletion deletion;
    private final MachineListing listing;
    private final HeartbeatSilence silence;
    private final PartitionedZones partitions;
    private final OverdueBoots overdueBoots;
    private final MachineHealth health;
    private final ScaleOutRequests scaleOutRequests;
    private final ScaleOutPlanner scaleOutPlanner;

    /**
     * Wires up the parts for one leader's term; nothing is sent before {@link #start}.
     *
     * @param arrivalRates the rates at which tasks of each class arrive
     * @param peers the other controllers, whose responses tell partitions from failures
     * @param changed run when machines were listed or deleted
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
        silence = new HeartbeatSilence(unlistedMachines, timeouts, now);
        partitions = new PartitionedZones(fleet, peers, unlistedMachines, silence, timeouts, now);
        overdueBoots = new OverdueBoots(fleet, partitions, timeouts);
        health =
                new MachineHealth(
                        fleet,
                        unlistedMachines,
                        silence,
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
                        new MachineDraining(fleet, arrivalRates, silence, timeouts, now),
                        now);
    }

    /**
     * Begins to list machines; none is requested or deleted before the first complete list.
     *
     * @param firstTerm whether no earlier leader can have requested any machine
     */
    public void start(boolean firstTerm) {
        scaleOutPlanner.start(firstTerm);
        listing.start();
    }

    /** Ends all requests to the cloud with the leader's term. */
    public void close() {
        cloud.close();
    }

    /** How many machines are overdue: they boot for longer than others of their type and zone. */
    public int overdueMachines() {
        return overdueBoots.count();
    }

    /** Starts to count the silence of machines anew, after this process was paused. */
    public void resumed() {
        silence.restart(loop.now());
    }

    /** Deletes machines that are unusable or idle, and requests those that demand needs. */
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
