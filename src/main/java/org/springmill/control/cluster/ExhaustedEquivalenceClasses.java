package org.springmill.control.cluster;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

/**
 * The shapes of tasks that found no room in one pass over the waiting jobs. Room only shrinks
 * during a pass, so later jobs of these shapes need not look. Ranking all machines for each of some
 * hundred one-task jobs, in every round, took a leader all of its processor time.
 */
public final class ExhaustedEquivalenceClasses {
    private final Set<EquivalenceClass> classes = new HashSet<>();

    /** Jobs for which some machine keeps room that others of their shape do not have. */
    private final Set<Job> jobsWithReservedCapacity;

    public ExhaustedEquivalenceClasses(Set<Job> jobsWithOwnRoom) {
        this.jobsWithReservedCapacity = jobsWithOwnRoom;
    }

    /** Notes that no machine has room for one more task of a job. */
    public void add(Job job) {
        EquivalenceClass.of(job).ifPresent(classes::add);
    }

    /** Whether it is known without a look that no machine has room for a job. */
    public boolean cover(Job job) {
        if (classes.isEmpty() || jobsWithReservedCapacity.contains(job)) {
            return false;
        }
        Optional<EquivalenceClass> shape = EquivalenceClass.of(job);
        return shape.isPresent() && classes.contains(shape.get());
    }
}
