package org.springmill.control.coordination;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

/**
 * The shapes of tasks that found no room in one pass over the waiting jobs. Room only shrinks
 * during a pass, so later jobs of these shapes need not look. Ranking all machines for each of some
 * hundred one-task jobs, in every round, took a leader all of its processor time.
 */
final class ExhaustedShapes {
    private final Set<TaskShape> shapes = new HashSet<>();

    /** Jobs for which some machine keeps room that others of their shape do not have. */
    private final Set<Job> jobsWithOwnRoom;

    ExhaustedShapes(Set<Job> jobsWithOwnRoom) {
        this.jobsWithOwnRoom = jobsWithOwnRoom;
    }

    /** Notes that no machine has room for one more task of a job. */
    void add(Job job) {
        TaskShape.of(job).ifPresent(shapes::add);
    }

    /** Whether it is known without a look that no machine has room for a job. */
    boolean cover(Job job) {
        if (shapes.isEmpty() || jobsWithOwnRoom.contains(job)) {
            return false;
        }
        Optional<TaskShape> shape = TaskShape.of(job);
        return shape.isPresent() && shapes.contains(shape.get());
    }
}
