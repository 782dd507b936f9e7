package org.springmill.control.cluster;

import java.util.List;
import java.util.Optional;
import org.springmill.protocol.Priority;
import org.springmill.protocol.Submission;

/**
 * What decides which machines have room for a task. Where one task finds no room, no other of the
 * same shape does, so that thousands of waiting jobs of a few shapes are looked at shape by shape.
 */
public record EquivalenceClass(
        String team,
        Priority priority,
        double cpus,
        double gpus,
        double memoryGb,
        List<String> types,
        String zone,
        boolean spot,
        boolean service) {

    /**
     * The shape of a job's tasks; empty if the job's own history or its other tasks decide as well
     * where one may go.
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
                        spec.types(),
                        spec.zone(),
                        spec.spot(),
                        spec.service()));
    }
}
