package org.springmill.control.scheduling;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.springmill.control.cluster.Fleet;
import org.springmill.control.cluster.Job;
import org.springmill.control.cluster.Machine;
import org.springmill.control.cluster.TaskAttempt;
import org.springmill.control.cluster.TeamUsage;
import org.springmill.control.timing.Timeouts;
import org.springmill.protocol.Resources;

/**
 * Guards jobs against starvation: a job that has waited very long for its first place gets a
 * machine reserved, on which nothing of lower right is placed until it fits.
 */
public final class Reservations {
    private static final Logger LOG = LoggerFactory.getLogger(Reservations.class);

    /** After so many leases without a place a machine is reserved for a job. */
    private static final double LEASES_BEFORE_RESERVATION = 4;

    /** So much of the fleet, one machine at least, is reserved at a time. */
    private static final double RESERVED_SHARE = 1 / 8.0;

    private final Fleet fleet;
    private final Timeouts timeouts;

    /**
     * Since when each job has waited for its first place, or a service for room for all of its
     * replicas.
     */
    private final Map<Job, Double> waitingSince = new HashMap<>();

    /** Machines that run empty for a job that waited too long. */
    private final Map<Machine, Job> jobByMachine = new LinkedHashMap<>();

    Reservations(Fleet fleet, Timeouts timeouts) {
        this.fleet = fleet;
        this.timeouts = timeouts;
    }

    private TeamUsage usage(Job job) {
        return fleet.clusterState().usage(job.spec().team());
    }

    private static boolean hasStarted(Job job) {
        return !job.spec().service() && job.liveCount() > 0;
    }

    /** The jobs for which a machine is reserved. */
    public Collection<Job> holders() {
        return jobByMachine.values();
    }

    /** Notes who waits, and gives up reservations that are of no more use. */
    void update(List<Job> waiting, double now) {
        Set<Job> waits = new HashSet<>(waiting);
        waits.removeIf(Reservations::hasStarted);
        waitingSince.keySet().retainAll(waits);
        waits.forEach(job -> waitingSince.putIfAbsent(job, now));
        jobByMachine
                .entrySet()
                .removeIf(
                        e ->
                                !waits.contains(e.getValue())
                                        || !isUsable(e.getKey(), e.getValue(), now));
    }

    /**
     * Whether a job needs no reservation: some of it runs, it has not waited for long, or it fails
     * where it runs and so waits for itself.
     */
    private boolean needsNoReservation(Job job, double now) {
        return hasStarted(job)
                || job.failures().isSuspect()
                || now - waitingSince.get(job)
                        < LEASES_BEFORE_RESERVATION * timeouts.workerLeaseSeconds();
    }

    /**
     * Keeps the machine that should have room soonest from work of no higher priority. Where there
     * is more work than room, what is small takes each piece as it comes free; a task that needs
     * most of a machine never began.
     */
    void reserve(Job job, List<Machine> open, double now) {
        if (needsNoReservation(job, now)
                || jobByMachine.containsValue(job)
                || jobByMachine.size() >= Math.max(1, open.size() * RESERVED_SHARE)) {
            return;
        }
        Machine best = null;
        double soonest = Double.POSITIVE_INFINITY;
        for (Machine machine : open) {
            double seconds =
                    Placement.isEligible(job, machine, now) && !jobByMachine.containsKey(machine)
                            ? secondsUntilCapacity(job, machine, now)
                            : soonest;
            if (seconds < soonest) {
                soonest = seconds;
                best = machine;
            }
        }
        if (best != null) {
            LOG.info("{} waits for its turn: {} is kept for it", job.id(), best.name());
            jobByMachine.put(best, job);
        }
    }

    /**
     * When a machine should have room for a task if nothing else is placed there; never if replicas
     * stand in the way.
     */
    private static double secondsUntilCapacity(Job job, Machine machine, double now) {
        Resources free = machine.free();
        List<TaskAttempt> ending = new ArrayList<>();
        for (TaskAttempt attempt : machine.attempts()) {
            if (!attempt.job().spec().service() || attempt.state() == TaskAttempt.State.STOPPING) {
                ending.add(attempt);
            }
        }
        ending.sort(Comparator.comparingDouble(attempt -> secondsUntilEnd(attempt, now)));
        double seconds = 0;
        for (TaskAttempt attempt : ending) {
            if (free.hold(job.spec())) {
                break;
            }
            free = free.plus(attempt.job().spec());
            seconds = secondsUntilEnd(attempt, now);
        }
        return free.hold(job.spec()) ? seconds : Double.POSITIVE_INFINITY;
    }

    private static double secondsUntilEnd(TaskAttempt attempt, double now) {
        double ran = attempt.ranSeconds(now);
        return attempt.state() == TaskAttempt.State.STOPPING
                ? 0
                : Math.max(0, attempt.job().spec().estimatedRunSeconds() - ran);
    }

    /**
     * A machine kept for a job that may not be placed there, or not at all by now, would only stand
     * idle.
     */
    private boolean isUsable(Machine machine, Job job, double now) {
        return machine.isSchedulable(now, timeouts.suspectAfterSeconds())
                && Placement.isEligible(job, machine, now)
                && now >= job.failures().notBefore()
                && usage(job).allows(job.spec());
    }

    /**
     * Whether a machine is kept for another job, but for work that comes before that one in any
     * case.
     */
    public boolean reservedFrom(Job job, Machine machine) {
        Job other = jobByMachine.get(machine);
        if (other == null || other == job || job.priority().above(other.priority())) {
            return false;
        }
        return other.priority().above(job.priority())
                || !usage(job).guaranteedFor(job.spec())
                || usage(other).guaranteedFor(other.spec());
    }
}
