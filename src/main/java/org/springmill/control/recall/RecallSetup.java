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

/** Puts together what a leader needs to carry recalls out. */
public final class RecallSetup {
    /** The hold-down stays below so many leases, however much work a recall lost. */
    private static final double MAX_HOLD_DOWN_LEASES = 2;

    /** Recalls closer together than a lease divided by this belong to one wave. */
    private static final double WAVES_PER_LEASE = 2;

    private final Fleet fleet;
    private final EventLoop loop;
    private final Timeouts timeouts;
    private final Metrics metrics;
    private final GracePeriods grace;
    private final RecallReservations reservations = new RecallReservations();
    private final HoldDownCapacity heldDownCapacity;

    public RecallSetup(
            Fleet fleet,
            EventLoop loop,
            Timeouts timeouts,
            OperatorSettings.Borrowing terms,
            Metrics metrics) {
        this.metrics = metrics;
        this.fleet = fleet;
        this.loop = loop;
        this.timeouts = timeouts;
        grace = new GracePeriods(timeouts, terms);
        HoldDown holdDown =
                new HoldDown(
                        terms.holdDownHalfLifeLeases() * timeouts.workerLeaseSeconds(),
                        terms.holdDownRatio(),
                        MAX_HOLD_DOWN_LEASES * timeouts.workerLeaseSeconds(),
                        timeouts.workerLeaseSeconds() / WAVES_PER_LEASE);
        heldDownCapacity = new HoldDownCapacity(fleet.clusterState(), holdDown, metrics);
    }

    /** Room that is promised to others, or not lent again yet. */
    public CapacityFilter withheld() {
        return new CapacityFilter() {
            @Override
            public Resources withheldFrom(Job job, Machine machine) {
                Resources promised = reservations.reservedForOthersOn(machine, job);
                return promised.plus(heldDownCapacity.withheldFrom(job, machine, loop.now()));
            }

            @Override
            public Set<Job> jobsWithReservedCapacity() {
                return reservations.jobsWithReservedCapacity();
            }
        };
    }

    /**
     * What decides recalls and carries them out.
     *
     * @param commandSender sends a machine the commands that are due
     */
    public RecallPreemption recalls(
            KeyValueStoreClient store, Placement placement, Consumer<Machine> commandSender) {
        return new RecallPreemption(
                fleet,
                loop,
                timeouts,
                new RecallLog(store),
                new RecallPlanner(fleet, placement, reservations, grace, timeouts),
                reservations,
                heldDownCapacity,
                grace,
                metrics,
                commandSender);
    }
}
