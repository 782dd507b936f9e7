package org.springmill.control.scheduling;

import org.springmill.control.cluster.Job;
import org.springmill.control.cluster.Machine;
import org.springmill.control.timing.Timeouts;
import org.springmill.protocol.Resources;
import org.springmill.protocol.Submission;

/**
 * Says how well a machine suits a task of a job, in seconds: less is better. What a task waits for
 * its image counts most; the other terms decide between machines on which it waits about as long.
 */
public final class MachineScore {
    /**
     * So much longer a fetch may take for work that can run on a spot machine to be kept off an
     * ordinary one.
     */
    private static final double ON_DEMAND_PENALTY_SECONDS = 5;

    /** Worth of keeping room whole for one of the largest replicas; less than any fetch. */
    private static final double FRAGMENTATION_PENALTY_SECONDS = 0.6;

    /** For each task that the job has in a machine's zone already, so that replicas spread. */
    private static final double SAME_ZONE_PENALTY_SECONDS = 0.5;

    /**
     * Worth of a machine's free room, all of it: among machines that hold the image the fullest is
     * taken, among others the emptiest.
     */
    private static final double FREE_CAPACITY_WEIGHT_SECONDS = 0.4;

    /** For a machine whose report is late: more than most fetches. */
    private static final double LATE_HEARTBEAT_PENALTY_SECONDS = 10;

    /** Reports come at most a quarter of their interval late. */
    private static final double HEARTBEAT_INTERVALS_UNTIL_LATE = 1.3;

    private final Timeouts timeouts;
    private final Submission largestReplica;

    /**
     * @param largestReplica the largest replica of any job, for which room should stay whole, or
     *     null
     */
    MachineScore(Timeouts timeouts, Submission largestReplica) {
        this.timeouts = timeouts;
        this.largestReplica = largestReplica;
    }

    /**
     * The replica that is hardest to place: room for it should not be broken up by smaller work.
     */
    static Submission largestReplica(Iterable<Job> jobs) {
        Submission found = null;
        for (Job job : jobs) {
            Submission spec = job.spec();
            boolean larger =
                    found == null
                            || spec.gpus() > found.gpus()
                            || (spec.gpus() == found.gpus() && spec.cpus() > found.cpus());
            if (job.eligible() && spec.service() && larger) {
                found = spec;
            }
        }
        return found;
    }

    /** Seconds that a task of a job waits on a machine, and what its place there is worth. */
    public double of(Job job, Machine machine, double now) {
        Submission spec = job.spec();
        double score = machine.imageFetchSeconds(spec, now);
        // Late reports are the first sign of trouble.
        if (now - machine.lastHeartbeatAt()
                > timeouts.heartbeatIntervalSeconds() * HEARTBEAT_INTERVALS_UNTIL_LATE) {
            score += LATE_HEARTBEAT_PENALTY_SECONDS;
        }
        if (spec.spot() && !machine.spot() && !usesStrandedCpus(spec, machine, largestReplica)) {
            // Ordinary machines are for those that have no other choice; they run out first.
            score += ON_DEMAND_PENALTY_SECONDS;
        }
        if (spec.service() && spec.tasks() > 1) {
            score += job.inZone(machine.zone()) * SAME_ZONE_PENALTY_SECONDS;
        }
        if (largestReplica != null) {
            score +=
                    FRAGMENTATION_PENALTY_SECONDS
                            * (replicaSlots(machine, 0, 0, 0)
                                    - replicaSlots(
                                            machine, spec.cpus(), spec.gpus(), spec.memoryGb()));
        }
        // Full machines leave others empty, and only empty ones can be returned.
        double room = freeShare(machine) * FREE_CAPACITY_WEIGHT_SECONDS;
        return machine.holdsImage(spec.image()) ? score + room : score - room;
    }

    /**
     * Whether a task without GPUs takes only what the free GPUs of a machine leave over, going by
     * the largest replica: no replica could use it, and the machine is kept for its GPU tasks in
     * any case. Such room on an ordinary machine costs less than a spot machine's, and a job does
     * not lose it without notice.
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

    /** How many of the largest replicas fit a machine once so much more of it is taken. */
    private int replicaSlots(Machine machine, double cpus, double gpus, double memory) {
        if (!machine.isAllowedFor(largestReplica)) {
            return 0;
        }
        double byCpus =
                largestReplica.cpus() == 0
                        ? 1e6
                        : (machine.freeCpus() - cpus + Resources.ROUNDING) / largestReplica.cpus();
        double byGpus =
                largestReplica.gpus() == 0
                        ? 1e6
                        : (machine.freeGpus() - gpus + Resources.ROUNDING) / largestReplica.gpus();
        double byMemory =
                largestReplica.memoryGb() == 0
                        ? 1e6
                        : (machine.free().memoryGb() - memory + Resources.ROUNDING)
                                / largestReplica.memoryGb();
        return (int) Math.max(0, Math.floor(Math.min(byCpus, Math.min(byGpus, byMemory))));
    }

    private static double freeShare(Machine machine) {
        double cpus = machine.freeCpus() / Math.max(1e-6, machine.type().cpus());
        return machine.type().gpus() == 0
                ? cpus
                : Math.min(cpus, machine.freeGpus() / machine.type().gpus());
    }
}
