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
 * images and neither waiting nor expected tasks need the machines. An eviction interrupts a replica
 * for a moment, a machine costs for as long as it is kept; so the one that saves most is drained
 * first, one at a time, and no task is evicted that has just started.
 */
final class MachineDraining {
    private static final Logger LOG = LoggerFactory.getLogger(MachineDraining.class);

    /** A machine of which less is free is not drained: evictions would cost more than it saves. */
    private static final double MIN_FREE_SHARE = 0.5;

    /** Until then a new leader may not have the heartbeats of all workers. */
    private static final double LEASES_AFTER_START = 2;

    /** By then the heartbeats show where the tasks of the last machine run. */
    private static final double HEARTBEATS_BETWEEN_DRAINS = 2;

    /** Machines considered in one call, so that a large fleet takes little processor time. */
    private static final int MAX_CANDIDATES = 8;

    /** An attempt that ran for so long has paid for its start. */
    private static final double MIN_LEASES_RUNNING = 3;

    private final Fleet fleet;
    private final ArrivalRateEstimator arrivalRates;
    private final HeartbeatSilence silence;
    private final Timeouts timeouts;
    private final double startedAt;
    private double drainedAt = Double.NEGATIVE_INFINITY;

    MachineDraining(
            Fleet fleet,
            ArrivalRateEstimator arrivalRates,
            HeartbeatSilence silence,
            Timeouts timeouts,
            double now) {
        this.fleet = fleet;
        this.arrivalRates = arrivalRates;
        this.silence = silence;
        this.timeouts = timeouts;
        this.startedAt = now;
    }

    /**
     * Begins to drain one machine, if there is one worth it and the fleet is settled.
     *
     * @param bins what is left of the fleet's free resources by all that waits or is expected
     */
    void drainOne(List<Bin> bins, double now) {
        if (!isFleetSettled(bins, now)) {
            return;
        }
        firstEvictable(mostCostlyToKeep(bins, now), bins).ifPresent(machine -> drain(machine, now));
    }

    /**
     * The machine of the first candidate whose tasks fit on others. While only the most costly
     * machine was considered, one that could not be drained kept all others from being drained for
     * minutes.
     */
    static Optional<Machine> firstEvictable(List<Bin> candidates, List<Bin> bins) {
        for (Bin candidate : candidates) {
            // A candidate that does not fit must not take the free resources from the next one.
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

    /** Whether no machine is to be requested, none is silent, and none is being drained. */
    private boolean isFleetSettled(List<Bin> bins, double now) {
        return now - startedAt > LEASES_AFTER_START * timeouts.workerLeaseSeconds()
                && now - drainedAt > HEARTBEATS_BETWEEN_DRAINS * timeouts.heartbeatIntervalSeconds()
                && bins.stream().noneMatch(Bin::isPlanned)
                && fleet.machines().stream().noneMatch(machine -> isUnsettled(machine, now));
    }

    private boolean isUnsettled(Machine machine, double now) {
        boolean beingDrained = machine.isDraining() && !machine.attempts().isEmpty();
        return beingDrained || silence.isHeartbeatOverdue(machine, now);
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

    private boolean isBoundToImages(Bin bin, Map<MachineType, Boolean> known) {
        return known.computeIfAbsent(bin.kind().type(), arrivalRates::isBoundToCachedImages);
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
     * Whether a task without checkpoints has run for more than half of its time. It ends sooner
     * than it would anywhere else; some were evicted again and again a few seconds before their
     * end.
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
