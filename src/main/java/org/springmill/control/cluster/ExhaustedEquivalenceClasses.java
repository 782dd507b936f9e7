package org.springmill.control.cluster;

import java.util.HashSet;
import java.util.Set;

/**
 * The equivalence classes that could not be placed in one pass over the waiting jobs. Free
 * resources only shrink during a pass, so later jobs of these classes need not be tried. Without
 * this, ranking all machines for a few hundred one-task jobs in every round used all of a leader's
 * CPU time.
 */
public final class ExhaustedEquivalenceClasses {
    private final Set<EquivalenceClass> classes = new HashSet<>();

    /** Jobs with a reserved machine, which others of their class may not use. */
    private final Set<Job> jobsWithReservedCapacity;

    /**
     * Starts a pass.
     *
     * @param jobsWithReservedCapacity jobs that are tried even if their class could not be placed
     */
    public ExhaustedEquivalenceClasses(Set<Job> jobsWithReservedCapacity) {
        this.jobsWithReservedCapacity = jobsWithReservedCapacity;
    }

    /** Records that one more task of a job fits on no machine. */
    public void add(Job job) {
        EquivalenceClass.of(job).ifPresent(classes::add);
    }

    /** Whether the job's class is known to fit on no machine, so that it need not be tried. */
    public boolean covers(Job job) {
        if (classes.isEmpty() || jobsWithReservedCapacity.contains(job)) {
            return false;
        }
        return EquivalenceClass.of(job).filter(classes::contains).isPresent();
    }
}
