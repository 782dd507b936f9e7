package org.springmill.control.autoscaling;

import org.springmill.protocol.CloudMessages.MachineType;
import org.springmill.protocol.Submission;

/** Computes the price of a task on machine types. */
final class PricePerTask {
    private PricePerTask() {}

    /**
     * The lowest hourly price of a task on any machine type, available or not; infinite if the task
     * fits on none.
     *
     * @param spot whether spot prices count
     * @param tasks the most tasks that share a machine
     */
    static double least(Iterable<MachineType> types, Submission job, boolean spot, int tasks) {
        double least = Double.POSITIVE_INFINITY;
        for (MachineType type : types) {
            if (type.fits(job)) {
                int tasksOnMachine = Math.min(tasks, type.tasksPerMachine(job));
                least = Math.min(least, type.price(spot) / tasksOnMachine);
            }
        }
        return least;
    }
}
