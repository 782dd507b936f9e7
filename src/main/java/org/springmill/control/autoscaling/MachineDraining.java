package org.springmill.control.autoscaling;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.springmill.control.cluster.Fleet;
import org.springmill.control.cluster.Machine;
import org.springmill.control.cluster.TaskAttempt;
import org.springmill.control.cluster.ZoneCounts;
import org.springmill.control.timing.Timeouts;
import org.springmill.protocol.CloudMessages.MachineType;
import org.springmill.protocol.Submission;

/**
 * Scales in: drains machines that are mostly free, if their tasks fit on others that hold the
 * images and no waiting or expected task needs them. An eviction interrupts a replica only briefly,
 * while a machine costs for as long as it is kept. Machines are drained one at a time, the one that
 * saves most first, and tasks that have just started are not evicted.
 */
final class MachineDraining {
    private static final Logger LOG = LoggerFactory.getLogger(MachineDraining.class);

    /**
     * A machine with a smaller free share is not drained: evictions would cost more than it saves.
     */
    private static final double MIN_FREE_SHARE = 0.5;

    /** For this many worker leases a new leader may lack the heartbeats of some workers. */
    private static final double LEASES_AFTER_START = 2;

    /** After this many heartbeats it is known where the tasks of the last drained machine run. */
    private static final double HEARTBEATS_BETWEEN_DRAINS = 2;

    /** Limits the machines considered in one call, to save processor time in a large fleet. */
    private static final int MAX_CANDIDATES = 8;

    /**
     * Attempts that have run for fewer worker leases are not evicted, since starting them had a
     * cost.
     */
    private static final double MIN_LEASES_RUNNING = 3;

    private final Fleet fleet;
    private final ArrivalRateEstimator arrivalRates;
    private final HeartbeatMonitor heartbeats;
    private final Timeouts timeouts;
    private final double startedAt;
    private double drainedAt = Double.NEGATIVE_INFINITY;

    MachineDraining(
            Fleet fleet,
            ArrivalRateEstimator arrivalRates,
            HeartbeatMonitor heartbeats,
            Timeouts timeouts,
            double now) {
        this.fleet = fleet;
        this.arrivalRates = arrivalRates;
        this.heartbeats = heartbeats;
        this.timeouts = timeouts;
        this.startedAt = now;
    }

    /**
     * Starts to drain one machine if one qualifies and the fleet is stable.
     *
     * @param bins the free resources of the fleet after packing all waiting and expected tasks
     */
    void drainOne(List<Bin> bins, double now) {
        if (!isFleetStable(bins, now)) {
            return;
        }
        firstEvictable(mostCostlyToKeep(bins, now), bins).ifPresent(machine -> drain(machine, now));
    }

    /**
     * Returns the first candidate machine whose tasks fit on others. When only the most costly
     * machine was considered, one that could not be drained blocked all others for minutes.
     */
    static Optional<Machine> firstEvictable(List<Bin> candidates, List<Bin> bins) {
        for (Bin candidate : candidates) {
            // A copy, because a candidate whose tasks do not fit must not use up the free
            // resources.
            List<Bin> copies = bins.stream().map(Bin::copy).toList();
            if (fitsElsewhere(candidate, copies)) {
                return Optional.of(candidate.machine());
            }
        }
        return Optional.empty();
    }

    private void drain(Machine machine, double now) {
        LOG.info(
                "draining machine {}: evicting {} tasks",
                machine.name(),
                machine.attempts().size());
        drainedAt = now;
        machine.drain();
        machine.attemptsSnapshot().forEach(fleet::stopWithCheckpoint);
    }

    /**
     * Whether no machine has to be requested, no heartbeat is overdue and none is being drained.
     */
    private boolean isFleetStable(List<Bin> bins, double now) {
        return now - startedAt > LEASES_AFTER_START * timeouts.workerLeaseSeconds()
                && now - drainedAt > HEARTBEATS_BETWEEN_DRAINS * timeouts.heartbeatIntervalSeconds()
                && bins.stream().noneMatch(Bin::isPlanned)
                && fleet.machines().stream()
                        .noneMatch(machine -> isDrainingOrOverdue(machine, now));
    }

    private boolean isDrainingOrOverdue(Machine machine, double now) {
        boolean beingDrained = machine.isDraining() && !machine.attempts().isEmpty();
        return beingDrained || heartbeats.isHeartbeatOverdue(machine, now);
    }

    /** Machines that may be drained, the one that saves most first. */
    private List<Bin> mostCostlyToKeep(List<Bin> bins, double now) {
        Map<MachineType, Boolean> boundToImages = new HashMap<>();
        return bins.stream()
                .filter(MachineDraining::isMostlyFree)
                .filter(bin -> !isBoundToImages(bin, boundToImages))
                .filter(bin -> mayEvictAll(bin.machine(), now))
                .sorted(Comparator.comparingDouble(Bin::freeCost).reversed())
                .limit(MAX_CANDIDATES)
                .toList();
    }

    private boolean isBoundToImages(Bin bin, Map<MachineType, Boolean> cache) {
        return cache.computeIfAbsent(bin.kind().type(), arrivalRates::isBoundToCachedImages);
    }

    private static boolean isMostlyFree(Bin bin) {
        return !bin.isUsed()
                && bin.freeShare() >= MIN_FREE_SHARE
                && bin.activity() == Bin.Activity.RUNNING_TASKS;
    }

    private boolean mayEvictAll(Machine machine, double now) {
        return machine.attempts().stream().allMatch(attempt -> mayEvict(attempt, now));
    }

    private boolean mayEvict(TaskAttempt attempt, double now) {
        return attempt.runningSeconds(now) > MIN_LEASES_RUNNING * timeouts.workerLeaseSeconds()
                && !losesMostOfItsWork(attempt, now);
    }

    /**
     * Whether a task without checkpoints has run for more than half of its estimated time. It
     * finishes sooner here than if restarted elsewhere; without this rule some tasks were evicted
     * repeatedly a few seconds before they finished.
     */
    private static boolean losesMostOfItsWork(TaskAttempt attempt, double now) {
        Submission spec = attempt.job().spec();
        boolean losesItsWork = !spec.isService() && !spec.hasCheckpoints();
        return losesItsWork && attempt.runningSeconds(now) > spec.estimatedRunSeconds() / 2;
    }

    /** Whether all tasks of a machine fit on others; packs them there. */
    private static boolean fitsElsewhere(Bin from, List<Bin> bins) {
        for (TaskAttempt attempt : from.machine().attempts()) {
            Submission spec = attempt.job().spec();
            boolean packed =
                    bins.stream()
                            .anyMatch(
                                    bin ->
                                            isEvictionTarget(bin, from, spec)
                                                    && bin.pack(spec, new ZoneCounts()));
            if (!packed) {
                return false;
            }
        }
        return true;
    }

    /** Whether a bin is another busy machine of the same zone that holds the job's image. */
    private static boolean isEvictionTarget(Bin bin, Bin from, Submission spec) {
        return bin.machine() != from.machine()
                && bin.activity() == Bin.Activity.RUNNING_TASKS
                && bin.kind().zone().equals(from.kind().zone())
                && bin.machine().holdsImage(spec.image());
    }
}
