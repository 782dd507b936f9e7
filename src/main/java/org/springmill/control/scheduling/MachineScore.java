package org.springmill.control.scheduling;

import org.springmill.control.cluster.Job;
import org.springmill.control.cluster.Machine;
import org.springmill.control.timing.Timeouts;
import org.springmill.protocol.Resources;
import org.springmill.protocol.Submission;

/**
 * Scores a machine for a task of a job, in seconds: less is better. The wait for the image counts
 * most; the other terms decide between machines on which that wait is about equal.
 */
public final class MachineScore {
    /**
     * For an on-demand machine, if the task may run on spot machines: a spot machine is preferred
     * even if fetching the image takes this much longer there.
     */
    private static final double ON_DEMAND_PENALTY_SECONDS = 5;

    /**
     * For each slot for the largest replica that the task would take up; less than any image fetch.
     */
    private static final double FRAGMENTATION_PENALTY_SECONDS = 0.6;

    /** For each task that the job has in the machine's zone already, so that replicas spread. */
    private static final double SAME_ZONE_PENALTY_SECONDS = 0.5;

    /**
     * Weight of a machine's free share: among machines that hold the image the fullest is preferred
     * (bin packing), among others the emptiest.
     */
    private static final double FREE_CAPACITY_WEIGHT_SECONDS = 0.4;

    /** For a machine whose heartbeat is late; longer than most image fetches. */
    private static final double LATE_HEARTBEAT_PENALTY_SECONDS = 10;

    /**
     * A heartbeat counts as late after this many intervals. In normal operation it is late by at
     * most a quarter of an interval.
     */
    private static final double HEARTBEAT_INTERVALS_UNTIL_LATE = 1.3;

    /** Replica count for a resource that the replica does not need. */
    private static final double UNBOUNDED_REPLICAS = 1e6;

    /** Smallest divisor for a machine type without CPUs. */
    private static final double MIN_CPUS = 1e-6;

    private final Timeouts timeouts;
    private final Submission largestReplica;

    /**
     * @param largestReplica the largest replica of any job, or null if no service is eligible
     */
    MachineScore(Timeouts timeouts, Submission largestReplica) {
        this.timeouts = timeouts;
        this.largestReplica = largestReplica;
    }

    /**
     * The largest replica of the eligible services, by GPUs and then CPUs; null if there is none.
     * It is the hardest to place, so smaller tasks should not fragment the capacity for it.
     */
    static Submission largestReplica(Iterable<Job> jobs) {
        Submission found = null;
        for (Job job : jobs) {
            Submission spec = job.spec();
            boolean larger =
                    found == null
                            || spec.gpus() > found.gpus()
                            || (spec.gpus() == found.gpus() && spec.cpus() > found.cpus());
            if (job.isEligible() && spec.isService() && larger) {
                found = spec;
            }
        }
        return found;
    }

    /** The score, in seconds, of a machine for a task of a job; the machine's type is known. */
    public double of(Job job, Machine machine, double now) {
        Submission spec = job.spec();
        double score = machine.imageFetchSeconds(spec, now);
        // A late heartbeat is the first sign that a machine is failing.
        if (now - machine.liveness().lastHeartbeatAt()
                > timeouts.heartbeatIntervalSeconds() * HEARTBEAT_INTERVALS_UNTIL_LATE) {
            score += LATE_HEARTBEAT_PENALTY_SECONDS;
        }
        if (spec.spot() && !machine.spot() && !usesStrandedCpus(spec, machine, largestReplica)) {
            // On-demand machines run out first, so they are kept for work that may not use spot
            // machines.
            score += ON_DEMAND_PENALTY_SECONDS;
        }
        if (spec.isService() && spec.tasks() > 1) {
            score += job.attemptsInZone(machine.zone()) * SAME_ZONE_PENALTY_SECONDS;
        }
        if (largestReplica != null) {
            score +=
                    FRAGMENTATION_PENALTY_SECONDS
                            * (replicaSlots(machine, 0, 0, 0)
                                    - replicaSlots(
                                            machine, spec.cpus(), spec.gpus(), spec.memoryGb()));
        }
        // Full machines leave others empty, and only empty ones can be scaled in.
        double freeCapacity = freeShare(machine) * FREE_CAPACITY_WEIGHT_SECONDS;
        return machine.holdsImage(spec.image()) ? score + freeCapacity : score - freeCapacity;
    }

    /**
     * Whether a task without GPUs takes only stranded CPUs: those left over when the free GPUs of a
     * machine are filled with the largest replica. No replica could use them, and the machine stays
     * up for its GPU tasks in any case. On an on-demand machine they cost less than a spot machine
     * and are not preempted without notice.
     */
    static boolean usesStrandedCpus(Submission spec, Machine machine, Submission largest) {
        if (largest == null || largest.gpus() == 0 || spec.gpus() > 0) {
            return false;
        }
        boolean runsGpuTasks = machine.freeGpus() < machine.type().gpus();
        if (!runsGpuTasks) {
            return false;
        }
        double replicas = machine.freeGpus() / largest.gpus();
        return machine.freeCpus() - spec.cpus() >= replicas * largest.cpus()
                && machine.free().memoryGb() - spec.memoryGb() >= replicas * largest.memoryGb();
    }

    /** How many of the largest replicas fit on a machine after the given resources are taken. */
    private int replicaSlots(Machine machine, double cpus, double gpus, double memory) {
        if (!machine.isAllowedFor(largestReplica)) {
            return 0;
        }
        double byCpus =
                largestReplica.cpus() == 0
                        ? UNBOUNDED_REPLICAS
                        : (machine.freeCpus() - cpus + Resources.ROUNDING) / largestReplica.cpus();
        double byGpus =
                largestReplica.gpus() == 0
                        ? UNBOUNDED_REPLICAS
                        : (machine.freeGpus() - gpus + Resources.ROUNDING) / largestReplica.gpus();
        double byMemory =
                largestReplica.memoryGb() == 0
                        ? UNBOUNDED_REPLICAS
                        : (machine.free().memoryGb() - memory + Resources.ROUNDING)
                                / largestReplica.memoryGb();
        return (int) Math.max(0, Math.floor(Math.min(byCpus, Math.min(byGpus, byMemory))));
    }

    /** The free share of a machine's CPUs or of its GPUs, whichever is smaller. */
    private static double freeShare(Machine machine) {
        double cpus = machine.freeCpus() / Math.max(MIN_CPUS, machine.type().cpus());
        return machine.type().gpus() == 0
                ? cpus
                : Math.min(cpus, machine.freeGpus() / machine.type().gpus());
    }
}
