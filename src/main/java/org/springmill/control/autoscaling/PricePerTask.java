package org.springmill.control.autoscaling;

import org.springmill.protocol.CloudMessages.MachineType;
import org.springmill.protocol.Submission;

/** Compares machine types by what a task costs on them. */
final class PricePerTask {
    private PricePerTask() {}

    /**
     * The least price of a task by the hour on any type of machine, whether one is available now or
     * not; infinite if none fits.
     *
     * @param spot whether spot prices count
     * @param tasks a machine runs no more of them than these
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
