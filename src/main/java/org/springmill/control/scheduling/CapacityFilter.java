package org.springmill.control.scheduling;

import java.util.Set;
import org.springmill.control.cluster.Job;
import org.springmill.control.cluster.Machine;
import org.springmill.protocol.Resources;

/** Withholds free capacity of machines from jobs that may not use it. */
public interface CapacityFilter {
    /** Nothing is withheld. */
    CapacityFilter NONE =
            new CapacityFilter() {
                @Override
                public Resources unavailableTo(Job job, Machine machine) {
                    return Resources.NONE;
                }

                @Override
                public Set<Job> jobsWithReservedCapacity() {
                    return Set.of();
                }
            };

    /** The part of a machine's free capacity that a job may not use. */
    Resources unavailableTo(Job job, Machine machine);

    /** Jobs that may use capacity which others of their equivalence class may not. */
    Set<Job> jobsWithReservedCapacity();
}
