package org.springmill.control.scheduling;

import java.util.Set;
import org.springmill.control.cluster.Job;
import org.springmill.control.cluster.Machine;
import org.springmill.protocol.Resources;

/** Free room on machines that some jobs may not use. */
public interface CapacityFilter {
    /** Nothing is withheld. */
    CapacityFilter NONE =
            new CapacityFilter() {
                @Override
                public Resources withheldFrom(Job job, Machine machine) {
                    return Resources.NONE;
                }

                @Override
                public Set<Job> jobsWithReservedCapacity() {
                    return Set.of();
                }
            };

    /** What a job may not use of a machine's free room. */
    Resources withheldFrom(Job job, Machine machine);

    /** Jobs that may use room which others of their shape may not. */
    Set<Job> jobsWithReservedCapacity();
}
