package org.springmill.control.coordination;

import org.springmill.protocol.Submission;

/** An amount of CPUs, GPUs and memory, such as what is free on a machine. */
record Resources(double cpus, double gpus, double memoryGb) {
    static final Resources NONE = new Resources(0, 0, 0);

    /** Resources are sums of decimal fractions, and off by the rounding of these. */
    static final double ROUNDING = 1e-6;

    /** What is free on a machine. */
    static Resources freeOn(Machine machine) {
        return new Resources(machine.freeCpus(), machine.freeGpus(), machine.freeMemory());
    }

    /** These and what a task takes. */
    Resources plus(Submission task) {
        return new Resources(cpus + task.cpus(), gpus + task.gpus(), memoryGb + task.memoryGb());
    }

    /** What is left of these without others. */
    Resources minus(Resources other) {
        return new Resources(cpus - other.cpus, gpus - other.gpus, memoryGb - other.memoryGb);
    }

    /** Whether a task fits in. */
    boolean hold(Submission task) {
        return task.cpus() <= cpus + ROUNDING
                && task.gpus() <= gpus + ROUNDING
                && task.memoryGb() <= memoryGb + ROUNDING;
    }
}
