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
 * Room that came back from work for which others were recalled, and that is not lent again before
 * the hold-down is over. A new leader begins without: what it forgets costs one recall at most.
 */
final class HoldDownCapacity {
    private final ClusterState clusterState;
    private final HoldDown holdDown;
    private final Metrics metrics;
    private final Map<Machine, List<HeldCapacity>> heldByMachine = new HashMap<>();

    /** The highest priority for which tasks were recalled in this term; null before the first. */
    private Priority recalledFor;

    /** Room on one machine. */
    private record HeldCapacity(Resources amount, double since, double until) {}

    HoldDownCapacity(ClusterState clusterState, HoldDown holdDown, Metrics metrics) {
        this.metrics = metrics;
        this.clusterState = clusterState;
        this.holdDown = holdDown;
    }

    /**
     * Notes a recall that made room for a job.
     *
     * @param costSeconds lost work, and waiting until it was settled
     * @param loanSeconds how long what was stopped had run
     */
    void recalled(
            Job beneficiary, Machine machine, double costSeconds, double loanSeconds, double now) {
        Priority priority = beneficiary.priority();
        recalledFor = recalledFor == null || priority.above(recalledFor) ? priority : recalledFor;
        if (machine.type() != null) {
            holdDown.recalled(machine.type().name(), costSeconds, loanSeconds, now);
        }
    }

    /**
     * Whether a job only uses what others leave: its tasks are those that recalls stop. Urgent work
     * is never held up.
     */
    private boolean usesBorrowedCapacity(Job job) {
        return recalledFor != null
                && !clusterState.usage(job.spec().team()).guaranteedFor(job.spec())
                && Priority.HIGH.above(job.priority())
                && (recalledFor.above(job.priority()) || !job.spec().service());
    }

    /** Whether recalls make room for work like a job's. */
    private boolean isBeneficiaryOfRecalls(Job job) {
        return recalledFor != null && job.spec().service() && !recalledFor.above(job.priority());
    }

    /** A task has left a machine. */
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

    /** A task takes room on a machine: what is held there may have been held for it. */
    void taskPlaced(TaskAttempt attempt, double now) {
        List<HeldCapacity> here = heldByMachine.get(attempt.machine());
        if (here == null || !isBeneficiaryOfRecalls(attempt.job())) {
            return;
        }
        HeldCapacity used = here.remove(0);
        recordHeldGpuSeconds(used, now);
        holdDown.wasOfUse(attempt.machine().type().name(), used.since(), now - used.since(), now);
        if (here.isEmpty()) {
            heldByMachine.remove(attempt.machine());
        }
    }

    /** Lends again what was held for long enough. */
    void expire(double now) {
        Iterator<Map.Entry<Machine, List<HeldCapacity>>> machines =
                heldByMachine.entrySet().iterator();
        while (machines.hasNext()) {
            Map.Entry<Machine, List<HeldCapacity>> entry = machines.next();
            boolean gone = entry.getKey().state() != Machine.State.UP;
            entry.getValue()
                    .removeIf(
                            room -> {
                                boolean over = gone || now >= room.until();
                                if (over) {
                                    recordHeldGpuSeconds(room, now);
                                }
                                return over;
                            });
            if (entry.getValue().isEmpty()) {
                machines.remove();
            }
        }
    }

    private void recordHeldGpuSeconds(HeldCapacity room, double now) {
        double seconds = Math.max(0, Math.min(now, room.until()) - room.since());
        metrics.roomHeld(room.amount().gpus() * seconds);
    }

    /** What a job may not use of the room on a machine. */
    Resources withheldFrom(Job job, Machine machine, double now) {
        List<HeldCapacity> here = heldByMachine.get(machine);
        if (here == null || !usesBorrowedCapacity(job)) {
            return Resources.NONE;
        }
        Resources sum = Resources.NONE;
        double seconds = job.spec().service() ? 0 : job.spec().estimatedRunSeconds();
        for (HeldCapacity room : here) {
            boolean admitted = holdDown.admits(machine.type().name(), seconds, now - room.since());
            if (now < room.until() && !admitted) {
                sum = sum.plus(room.amount());
            }
        }
        return sum;
    }
}
