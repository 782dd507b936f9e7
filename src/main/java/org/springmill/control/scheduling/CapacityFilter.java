package org.springmill.control.scheduling;

import java.util.Set;
import org.springmill.control.cluster.Job;
import org.springmill.control.cluster.Machine;
import org.springmill.protocol.Resources;

/** Excludes free capacity of machines from use by certain jobs. */
public interface CapacityFilter {
    /** Lets every job use all free capacity. */
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

    /** Jobs that may use capacity that is unavailable to other jobs of their equivalence class. */
    Set<Job> jobsWithReservedCapacity();
}
