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
    private final OverdueBoots lateMachines;
    private final MachineHealth health;
    private final ScaleOutRequests requests;
    private final ScaleOutPlanner planner;

    /**
     * @param changed run when machines were listed or deleted
     */
    public Autoscaler(
            Fleet fleet,
            Placement placement,
            ArrivalRateEstimator demand,
            Peers peers,
            HttpClient http,
            EventLoop loop,
            Settings settings,
            Timeouts timing,
            Runnable changed) {
        this.loop = loop;
        double now = loop.now();
        cloud = new CloudClient(http, loop, settings, timing);
        deletion = new MachineDeletion(fleet, cloud, loop, changed);
        listing = new MachineListing(fleet, cloud, deletion, loop, settings, changed);
        silence = new HeartbeatSilence(listing, timing, now);
        partitions = new PartitionedZones(fleet, peers, silence, timing, now);
        lateMachines = new OverdueBoots(fleet, partitions, timing);
        health =
                new MachineHealth(
                        fleet,
                        listing,
                        silence,
                        partitions,
                        lateMachines,
                        deletion,
                        settings,
                        timing,
                        now);
        requests = new ScaleOutRequests(fleet, cloud, lateMachines, loop);
        planner =
                new ScaleOutPlanner(
                        fleet,
                        placement,
                        listing,
                        partitions,
                        lateMachines,
                        requests,
                        new Headroom(fleet, demand, settings),
                        new IdleMachines(deletion, lateMachines, settings),
                        new MachineDraining(fleet, demand, silence, timing, now),
                        settings,
                        timing,
                        now);
    }

    /**
     * Begins to list machines; nothing is rented or deleted before the first list.
     *
     * @param firstTerm whether no earlier leader can have rented anything
     */
    public void start(boolean firstTerm) {
        planner.start(firstTerm);
        listing.start();
    }

    /** Ends all requests to the cloud with the leader's term. */
    public void close() {
        cloud.close();
    }

    /** How many machines are late to come up. */
    public int machinesLate() {
        return lateMachines.count();
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
        lateMachines.update(now);
        health.deleteUnusable(now);
        requests.forgetOldRefusals(now);
        planner.plan(now);
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
