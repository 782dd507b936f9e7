package org.springmill.control.recall;

import java.util.Set;
import java.util.function.Consumer;
import org.springmill.control.borrowing.HoldDown;
import org.springmill.control.borrowing.RecallLog;
import org.springmill.control.cluster.Fleet;
import org.springmill.control.cluster.Job;
import org.springmill.control.cluster.Machine;
import org.springmill.control.metrics.Metrics;
import org.springmill.control.scheduling.CapacityFilter;
import org.springmill.control.scheduling.Placement;
import org.springmill.control.storage.KeyValueStoreClient;
import org.springmill.control.timing.Timeouts;
import org.springmill.protocol.OperatorSettings;
import org.springmill.protocol.Resources;
import org.springmill.transport.EventLoop;

/** Creates the objects that a leader needs for preemption by recalls. */
public final class RecallSetup {
    /** Limit of the hold-down in worker leases, however much work a recall lost. */
    private static final double MAX_HOLD_DOWN_LEASES = 2;

    /** Recalls less than a worker lease divided by this apart belong to one wave. */
    private static final double WAVES_PER_LEASE = 2;

    private final RecallContext context;
    private final GracePeriods grace;
    private final RecallReservations reservations = new RecallReservations();
    private final HoldDownCapacity heldDownCapacity;

    /**
     * Creates the objects of one leader's term.
     *
     * @param settings the operator's settings for borrowed capacity
     */
    public RecallSetup(
            Fleet fleet,
            EventLoop loop,
            Timeouts timeouts,
            OperatorSettings.Borrowing settings,
            Metrics metrics) {
        context = new RecallContext(fleet, loop, timeouts, metrics);
        grace = new GracePeriods(timeouts, settings);
        HoldDown holdDown =
                new HoldDown(
                        settings.holdDownHalfLifeLeases() * timeouts.workerLeaseSeconds(),
                        settings.holdDownRatio(),
                        MAX_HOLD_DOWN_LEASES * timeouts.workerLeaseSeconds(),
                        timeouts.workerLeaseSeconds() / WAVES_PER_LEASE);
        heldDownCapacity = new HoldDownCapacity(fleet.clusterState(), holdDown, metrics);
    }

    /** Excludes capacity that is reserved for other jobs or held down after a recall. */
    public CapacityFilter capacityFilter() {
        return new CapacityFilter() {
            @Override
            public Resources unavailableTo(Job job, Machine machine) {
                Resources reserved = reservations.reservedForOthersOn(machine, job);
                return reserved.plus(
                        heldDownCapacity.unavailableTo(job, machine, context.loop().now()));
            }

            @Override
            public Set<Job> jobsWithReservedCapacity() {
                return reservations.jobsWithReservedCapacity();
            }
        };
    }

    /**
     * Creates the preemption policy that recalls borrowed capacity.
     *
     * @param commandSender sends a machine the commands that are due
     */
    public RecallPreemption preemptionPolicy(
            KeyValueStoreClient store, Placement placement, Consumer<Machine> commandSender) {
        return new RecallPreemption(
                context,
                new RecallLog(store),
                new RecallPlanner(
                        context.fleet(), placement, reservations, grace, context.timeouts()),
                reservations,
                heldDownCapacity,
                grace,
                new VictimStops(context, grace, commandSender));
    }
}
