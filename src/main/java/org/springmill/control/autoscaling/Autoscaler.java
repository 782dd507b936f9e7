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
 * Keeps the fleet of one leader's term at the size that its work needs: rents machines for what
 * waits and what is to be expected, and deletes those that fail or that nobody needs. The parts
 * that decide and act are wired up here.
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
        scaleOutPlanner =
                new ScaleOutPlanner(
                        fleet,
                        placement,
                        listing,
                        partitions,
                        overdueBoots,
                        scaleOutRequests,
                        new Headroom(fleet, arrivalRates, settings),
                        new IdleMachines(deletion, overdueBoots, settings),
                        new MachineDraining(fleet, arrivalRates, silence, timeouts, now),
                        settings,
                        timeouts,
                        now);
    }

    /**
     * Begins to list machines; nothing is rented or deleted before the first list.
     *
     * @param firstTerm whether no earlier leader can have rented anything
     */
    public void start(boolean firstTerm) {
        scaleOutPlanner.start(firstTerm);
        listing.start();
    }

    /** Ends all requests to the cloud with the leader's term. */
    public void close() {
        cloud.close();
    }

    /** How many machines are late to come up. */
    public int machinesLate() {
        return overdueBoots.count();
    }

    /** Notes that for some time nothing was read or done here. */
    public void resumed() {
        silence.restart(loop.now());
    }

    /** Deletes machines that are of no more use and rents what is needed. */
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
     * Deletes a machine, unless that was asked for before. What it ran is proven gone by the
     * cloud's answer, and by nothing before that.
     *
     * @param reason for the log
     */
    public void release(Machine machine, String reason) {
        deletion.delete(machine, reason);
    }
}
