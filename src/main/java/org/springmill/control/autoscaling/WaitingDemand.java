package org.springmill.control.autoscaling;

import java.util.List;
import java.util.function.Predicate;
import org.springmill.control.cluster.EquivalenceClass;
import org.springmill.control.cluster.Fleet;
import org.springmill.control.cluster.Job;
import org.springmill.control.cluster.Machine;
import org.springmill.control.cluster.TaskAttempt;
import org.springmill.control.cluster.ZoneCounts;
import org.springmill.control.scheduling.Placement;
import org.springmill.protocol.Settings;
import org.springmill.protocol.Submission;

/** Packs the waiting tasks of jobs within quotas and the placement constraints of the jobs. */
final class WaitingDemand {
    /**
     * Tasks are short if several of them can run one after another within a boot time. If tasks
     * that run for about a boot time counted as short, half of a job array would wait for the other
     * half.
     */
    private static final double SHORT_TASK_BOOTS = 0.25;

    private final Fleet fleet;
    private final Placement placement;
    private final Settings settings;

    WaitingDemand(Fleet fleet, Placement placement, Settings settings) {
        this.fleet = fleet;
        this.placement = placement;
        this.settings = settings;
    }

    /** The jobs with waiting tasks, in the order of their placement. */
    List<Job> jobs() {
        return placement.waitingJobs();
    }

    /** Packs the waiting tasks of those jobs whose teams have a guaranteed quota. */
    void packGuaranteed(List<Job> waiting, DemandPacking packing, double now) {
        packAll(waiting, this::hasGuarantee, packing, now);
    }

    /** Packs the waiting tasks of those jobs whose teams have no guaranteed quota. */
    void packUnguaranteed(List<Job> waiting, DemandPacking packing, double now) {
        packAll(waiting, job -> !hasGuarantee(job), packing, now);
    }

    private void packAll(
            List<Job> waiting, Predicate<Job> included, DemandPacking packing, double now) {
        waiting.stream().filter(included).forEach(job -> pack(job, packing, now));
    }

    private boolean hasGuarantee(Job job) {
        return fleet.clusterState().teamUsage(job.spec().team()).hasGuarantee();
    }

    /**
     * Packs the waiting tasks of a job. Machines where the job failed are excluded, since it is not
     * placed there: it would wait forever if no other machine had free resources. Machines that are
     * reserved for another job are excluded, too.
     */
    private void pack(Job job, DemandPacking packing, double now) {
        int tasks = slotsNeeded(job, Math.min(job.startableTaskCount(), tasksWithinQuota(job)));
        Submission spec = job.spec().oneZone() ? inOneZone(job, tasks, packing) : job.spec();
        ZoneCounts tasksPerZone = new ZoneCounts();
        job.attempts().forEach(attempt -> tasksPerZone.add(attempt.machine().zone()));
        PackingRequest request =
                PackingRequest.ofJob(
                        spec, tasks, tasksPerZone, machine -> isExcluded(machine, job, now));
        packing.pack(withEquivalenceClass(job, withPriceBound(job, request)));
    }

    private PackingRequest withPriceBound(Job job, PackingRequest request) {
        return hasGuarantee(job)
                ? request
                : request.withMaxPriceRatio(settings.operator().unguaranteedPriceRatio());
    }

    private PackingRequest withEquivalenceClass(Job job, PackingRequest request) {
        boolean hasReservedCapacity = placement.reservations().jobsWithReservation().contains(job);
        return hasReservedCapacity
                ? request
                : EquivalenceClass.of(job).map(request::withEquivalenceClass).orElse(request);
    }

    /**
     * How many of a job's waiting tasks need resources of their own so that all tasks of the job
     * finish within a boot time. Tasks that are much shorter than a boot run one after another on
     * the same resources: if a machine were requested for each of ten thousand short tasks, the
     * machines would be ready only when most of the tasks are done.
     */
    private int slotsNeeded(Job job, int waiting) {
        Submission spec = job.spec();
        double bootSeconds = fleet.catalog().slowestBootSeconds();
        boolean isShort =
                spec.estimatedRunSeconds() > 0
                        && spec.estimatedRunSeconds() < SHORT_TASK_BOOTS * bootSeconds;
        if (spec.isService() || spec.isGang() || !isShort) {
            return waiting;
        }
        int running = job.attemptCount();
        double concurrentTasks = (waiting + running) * spec.estimatedRunSeconds() / bootSeconds;
        return Math.max(0, Math.min(waiting, (int) Math.ceil(concurrentTasks) - running));
    }

    private boolean isExcluded(Machine machine, Job job, double now) {
        return job.failures().excludes(machine.name(), now)
                || placement.reservations().isReservedForOthers(job, machine);
    }

    private int tasksWithinQuota(Job job) {
        return fleet.clusterState().teamUsage(job.spec().team()).tasksWithinLimit(job.spec());
    }

    /**
     * Restricts a job whose tasks must share a zone to the zone of its running tasks; if none runs,
     * to the zone where most of them fit.
     */
    private static Submission inOneZone(Job job, int tasks, DemandPacking packing) {
        for (TaskAttempt attempt : job.attempts()) {
            String zone = attempt.machine().zone();
            if (!zone.isEmpty()) {
                return job.spec().restrictedToZone(zone);
            }
        }
        return packing.inZoneWithMostCapacity(job.spec(), tasks);
    }
}
