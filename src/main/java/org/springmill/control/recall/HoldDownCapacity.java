package org.springmill.control.recall;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import org.springmill.control.borrowing.HoldDown;
import org.springmill.control.cluster.ClusterState;
import org.springmill.control.cluster.Job;
import org.springmill.control.cluster.Machine;
import org.springmill.control.cluster.TaskAttempt;
import org.springmill.control.metrics.Metrics;
import org.springmill.protocol.Priority;
import org.springmill.protocol.Resources;

/**
 * Capacity that beneficiaries of recalls have released and that may not be borrowed again until its
 * hold-down ends. It is not recovered at failover: losing it costs at most one recall.
 */
final class HoldDownCapacity {
    private final ClusterState clusterState;
    private final HoldDown holdDown;
    private final Metrics metrics;
    private final Map<Machine, List<HeldCapacity>> heldByMachine = new HashMap<>();

    /**
     * Highest priority for which tasks were recalled in this term; null before the first recall.
     */
    private Priority highestBeneficiary;

    /** Capacity on one machine; times are seconds on the leader's clock. */
    private record HeldCapacity(Resources amount, double since, double until) {}

    HoldDownCapacity(ClusterState clusterState, HoldDown holdDown, Metrics metrics) {
        this.metrics = metrics;
        this.clusterState = clusterState;
        this.holdDown = holdDown;
    }

    /**
     * Records a recall that freed capacity for a job.
     *
     * @param costSeconds lost work plus the time from the decision until the recall was settled
     * @param borrowedSeconds how long the victims had run on average
     */
    void recordRecall(
            Job beneficiary,
            Machine machine,
            double costSeconds,
            double borrowedSeconds,
            double now) {
        Priority priority = beneficiary.priority();
        highestBeneficiary =
                highestBeneficiary == null || priority.isAbove(highestBeneficiary)
                        ? priority
                        : highestBeneficiary;
        if (machine.type() != null) {
            holdDown.recordRecall(machine.type().name(), costSeconds, borrowedSeconds, now);
        }
    }

    /**
     * Whether a job would run on borrowed capacity, so that the hold-down applies to it. Jobs of
     * priority {@link Priority#HIGH} or above are exempt.
     */
    private boolean usesBorrowedCapacity(Job job) {
        return highestBeneficiary != null
                && !clusterState.teamUsage(job.spec().team()).isWithinGuarantee(job.spec())
                && Priority.HIGH.isAbove(job.priority())
                && (highestBeneficiary.isAbove(job.priority()) || !job.spec().isService());
    }

    /**
     * Whether a job counts as a beneficiary: a service of at least the highest priority for which
     * tasks were recalled in this term.
     */
    private boolean isBeneficiaryOfRecalls(Job job) {
        return highestBeneficiary != null
                && job.spec().isService()
                && !highestBeneficiary.isAbove(job.priority());
    }

    /** Starts the hold-down of the capacity that a beneficiary's task has released by ending. */
    void taskReleased(TaskAttempt attempt, double now) {
        Machine machine = attempt.machine();
        if (machine.type() == null || !isBeneficiaryOfRecalls(attempt.job())) {
            return;
        }
        double seconds = holdDown.seconds(machine.type().name(), now);
        if (seconds > 0) {
            Resources amount = Resources.of(attempt.job().spec());
            heldByMachine
                    .computeIfAbsent(machine, m -> new ArrayList<>())
                    .add(new HeldCapacity(amount, now, now + seconds));
        }
    }

    /** Ends the earliest hold-down on a machine if a beneficiary's task is placed there. */
    void taskPlaced(TaskAttempt attempt, double now) {
        List<HeldCapacity> held = heldByMachine.get(attempt.machine());
        if (held == null || !isBeneficiaryOfRecalls(attempt.job())) {
            return;
        }
        HeldCapacity used = held.remove(0);
        recordHeldGpuSeconds(used, now);
        holdDown.heldCapacityUsed(
                attempt.machine().type().name(), used.since(), now - used.since(), now);
        if (held.isEmpty()) {
            heldByMachine.remove(attempt.machine());
        }
    }

    /** Ends the hold-down of capacity whose time is over or whose machine is not up. */
    void expire(double now) {
        Iterator<Map.Entry<Machine, List<HeldCapacity>>> machines =
                heldByMachine.entrySet().iterator();
        while (machines.hasNext()) {
            Map.Entry<Machine, List<HeldCapacity>> entry = machines.next();
            boolean machineDown = entry.getKey().state() != Machine.State.UP;
            entry.getValue()
                    .removeIf(
                            capacity -> {
                                boolean over = machineDown || now >= capacity.until();
                                if (over) {
                                    recordHeldGpuSeconds(capacity, now);
                                }
                                return over;
                            });
            if (entry.getValue().isEmpty()) {
                machines.remove();
            }
        }
    }

    private void recordHeldGpuSeconds(HeldCapacity capacity, double now) {
        double seconds = Math.max(0, Math.min(now, capacity.until()) - capacity.since());
        metrics.recordHoldDownGpuSeconds(capacity.amount().gpus() * seconds);
    }

    /** The part of a machine's free capacity that a job may not use because of the hold-down. */
    Resources unavailableTo(Job job, Machine machine, double now) {
        List<HeldCapacity> held = heldByMachine.get(machine);
        if (held == null || !usesBorrowedCapacity(job)) {
            return Resources.NONE;
        }
        Resources unavailable = Resources.NONE;
        double workSeconds = job.spec().isService() ? 0 : job.spec().estimatedRunSeconds();
        for (HeldCapacity capacity : held) {
            boolean admitted =
                    holdDown.admitsShortWork(
                            machine.type().name(), workSeconds, now - capacity.since());
            if (now < capacity.until() && !admitted) {
                unavailable = unavailable.plus(capacity.amount());
            }
        }
        return unavailable;
    }
}
