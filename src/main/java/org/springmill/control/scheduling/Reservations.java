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
 * Protects jobs from starvation: reserves a machine for a job that has waited very long to start.
 * No job later in the scheduling order is placed on that machine until the job fits.
 */
public final class Reservations {
    private static final Logger LOG = LoggerFactory.getLogger(Reservations.class);

    /** Number of worker leases for which a job has to wait before a machine is reserved for it. */
    private static final double LEASES_BEFORE_RESERVATION = 4;

    /** At most this share of the schedulable machines, but at least one, is reserved. */
    private static final double MAX_RESERVED_SHARE = 1 / 8.0;

    private final Fleet fleet;
    private final Timeouts timeouts;

    /**
     * Since when each job has waited for its first task to be placed, or a service for all of its
     * replicas; seconds on the leader's clock.
     */
    private final Map<Job, Double> waitingSince = new HashMap<>();

    /** The job for which each machine is reserved. */
    private final Map<Machine, Job> jobByMachine = new LinkedHashMap<>();

    Reservations(Fleet fleet, Timeouts timeouts) {
        this.fleet = fleet;
        this.timeouts = timeouts;
    }

    private TeamUsage usage(Job job) {
        return fleet.clusterState().teamUsage(job.spec().team());
    }

    private static boolean hasStarted(Job job) {
        return !job.spec().isService() && job.attemptCount() > 0;
    }

    /** The jobs for which a machine is reserved; a view, earliest reservation first. */
    public Collection<Job> jobsWithReservation() {
        return jobByMachine.values();
    }

    /** Records which jobs wait to start, and removes obsolete reservations. */
    void update(List<Job> waiting, double now) {
        Set<Job> starving = new HashSet<>(waiting);
        starving.removeIf(Reservations::hasStarted);
        waitingSince.keySet().retainAll(starving);
        starving.forEach(job -> waitingSince.putIfAbsent(job, now));
        jobByMachine
                .entrySet()
                .removeIf(
                        reservation ->
                                !starving.contains(reservation.getValue())
                                        || !isUsable(
                                                reservation.getKey(), reservation.getValue(), now));
    }

    /**
     * Whether a job needs no reservation: some of its tasks run, it has not waited for long, or it
     * waits only because its own tasks fail.
     */
    private boolean needsNoReservation(Job job, double now) {
        return hasStarted(job)
                || job.failures().isSuspect()
                || now - waitingSince.get(job)
                        < LEASES_BEFORE_RESERVATION * timeouts.workerLeaseSeconds();
    }

    /**
     * Reserves, for a starving job, the machine that is expected to have enough free capacity
     * soonest. Without the reservation, small tasks on a full fleet take all capacity as it becomes
     * free, and a task that needs most of a machine never starts.
     */
    void reserve(Job job, List<Machine> machines, double now) {
        if (needsNoReservation(job, now)
                || jobByMachine.containsValue(job)
                || jobByMachine.size() >= Math.max(1, machines.size() * MAX_RESERVED_SHARE)) {
            return;
        }
        Machine best = null;
        double leastSeconds = Double.POSITIVE_INFINITY;
        for (Machine machine : machines) {
            double seconds =
                    Placement.isEligible(job, machine, now) && !jobByMachine.containsKey(machine)
                            ? secondsUntilCapacity(job, machine, now)
                            : leastSeconds;
            if (seconds < leastSeconds) {
                leastSeconds = seconds;
                best = machine;
            }
        }
        if (best != null) {
            LOG.info(
                    "reserving machine {} for job {}, whose tasks have waited {} s for capacity",
                    best.name(),
                    job.id(),
                    Math.round(now - waitingSince.get(job)));
            jobByMachine.put(best, job);
        }
    }

    /**
     * Expected seconds until a machine has capacity for a task if nothing else is placed there;
     * infinite if services occupy it, since these do not end on their own.
     */
    private static double secondsUntilCapacity(Job job, Machine machine, double now) {
        Resources free = machine.free();
        List<TaskAttempt> ending = new ArrayList<>();
        for (TaskAttempt attempt : machine.attempts()) {
            if (!attempt.job().spec().isService()
                    || attempt.state() == TaskAttempt.State.STOPPING) {
                ending.add(attempt);
            }
        }
        ending.sort(Comparator.comparingDouble(attempt -> secondsUntilEnd(attempt, now)));
        double seconds = 0;
        for (TaskAttempt attempt : ending) {
            if (free.canFit(job.spec())) {
                break;
            }
            free = free.plus(attempt.job().spec());
            seconds = secondsUntilEnd(attempt, now);
        }
        return free.canFit(job.spec()) ? seconds : Double.POSITIVE_INFINITY;
    }

    private static double secondsUntilEnd(TaskAttempt attempt, double now) {
        double ran = attempt.runningSeconds(now);
        return attempt.state() == TaskAttempt.State.STOPPING
                ? 0
                : Math.max(0, attempt.job().spec().estimatedRunSeconds() - ran);
    }

    /**
     * Whether the job may still be placed on the machine. If not, the reservation would only keep
     * the machine idle.
     */
    private boolean isUsable(Machine machine, Job job, double now) {
        return machine.isSchedulable(now, timeouts.suspectAfterSeconds())
                && Placement.isEligible(job, machine, now)
                && now >= job.failures().retryNotBefore()
                && usage(job).isWithinLimit(job.spec());
    }

    /**
     * Whether a machine is reserved for another job that comes before this one in the scheduling
     * order, by priority and guaranteed quota.
     */
    public boolean isReservedForOthers(Job job, Machine machine) {
        Job other = jobByMachine.get(machine);
        if (other == null || other == job || job.priority().isAbove(other.priority())) {
            return false;
        }
        return other.priority().isAbove(job.priority())
                || !usage(job).isWithinGuarantee(job.spec())
                || usage(other).isWithinGuarantee(other.spec());
    }
}
