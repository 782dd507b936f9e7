package org.springmill.control.cluster;

import java.util.List;
import java.util.Optional;
import org.springmill.protocol.HeartbeatSize;
import org.springmill.protocol.Priority;
import org.springmill.protocol.Submission;

/**
 * Tasks with the same requirements, which fit on the same machines. If one of them cannot be
 * placed, no other can, so placement need not try each of thousands of waiting jobs.
 */
public record EquivalenceClass(
        String team,
        Priority priority,
        double cpus,
        double gpus,
        double memoryGb,
        int heartbeatBytes,
        List<String> types,
        String zone,
        boolean spot,
        boolean service) {

    /**
     * The class of a job's tasks; empty if the allowed machines also depend on the job's failures
     * or on where its other tasks run.
     */
    public static Optional<EquivalenceClass> of(Job job) {
        Submission spec = job.spec();
        boolean dependsOnOtherTasks = spec.oneZone() || spec.spread();
        if (dependsOnOtherTasks || job.failures().hasExclusions()) {
            return Optional.empty();
        }
        return Optional.of(
                new EquivalenceClass(
                        spec.team(),
                        job.priority(),
                        spec.cpus(),
                        spec.gpus(),
                        spec.memoryGb(),
                        HeartbeatSize.maxBytes(spec),
                        spec.machineTypes(),
                        spec.zone(),
                        spec.spot(),
                        spec.isService()));
    }
}
