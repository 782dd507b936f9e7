package org.springmill.control.cluster;

import java.util.HashSet;
import java.util.Set;

/**
 * The equivalence classes that could not be placed in one pass over the waiting jobs. Free
 * resources only shrink during a pass, so later jobs of these classes need not be tried. Ranking
 * all machines for each of some hundred one-task jobs, in every round, took a leader all of its
 * processor time.
 */
public final class ExhaustedEquivalenceClasses {
    private final Set<EquivalenceClass> classes = new HashSet<>();

    /** Jobs with a reserved machine, which others of their class may not use. */
    private final Set<Job> jobsWithReservedCapacity;

    /**
     * Starts a pass.
     *
     * @param jobsWithReservedCapacity are tried even if their class could not be placed
     */
    public ExhaustedEquivalenceClasses(Set<Job> jobsWithReservedCapacity) {
        this.jobsWithReservedCapacity = jobsWithReservedCapacity;
    }

    /** Records that one more task of a job fits on no machine. */
    public void add(Job job) {
        EquivalenceClass.of(job).ifPresent(classes::add);
    }

    /** Whether a job is already known to fit on no machine. */
    public boolean covers(Job job) {
        if (classes.isEmpty() || jobsWithReservedCapacity.contains(job)) {
            return false;
        }
        return EquivalenceClass.of(job).filter(classes::contains).isPresent();
    }
}
