package org.springmill.protocol;

/**
 * An amount of CPUs, GPUs and memory, such as the request of a task or the free capacity of a
 * machine, and of bytes in a machine's heartbeat, which tasks take as well.
 *
 * @param cpus number of CPUs
 * @param gpus number of GPUs
 * @param memoryGb memory, in GB
 * @param heartbeatBytes bytes in the heartbeats of one machine, see {@link HeartbeatSize}; without
 *     meaning in the resources of a team
 */
public record Resources(double cpus, double gpus, double memoryGb, double heartbeatBytes) {
    /** No resources. */
    public static final Resources NONE = new Resources(0, 0, 0);

    /** Tolerance for the rounding of sums of decimal fractions. */
    public static final double ROUNDING = 1e-6;

    /** Resources that take nothing of a heartbeat. */
    public Resources(double cpus, double gpus, double memoryGb) {
        this(cpus, gpus, memoryGb, 0);
    }

    /** The request of one task of a job. */
    public static Resources of(Submission task) {
        return new Resources(
                task.cpus(), task.gpus(), task.memoryGb(), HeartbeatSize.maxBytes(task));
    }

    /** The sum of these and others. */
    public Resources plus(Resources other) {
        return new Resources(
                cpus + other.cpus,
                gpus + other.gpus,
                memoryGb + other.memoryGb,
                heartbeatBytes + other.heartbeatBytes);
    }

    /** The sum of these and the request of one task. */
    public Resources plus(Submission task) {
        return plus(of(task));
    }

    /** These less others. */
    public Resources minus(Resources other) {
        return new Resources(
                cpus - other.cpus,
                gpus - other.gpus,
                memoryGb - other.memoryGb,
                heartbeatBytes - other.heartbeatBytes);
    }

    /** These multiplied by a factor. */
    public Resources times(double factor) {
        return new Resources(
                cpus * factor, gpus * factor, memoryGb * factor, heartbeatBytes * factor);
    }

    /** Whether others fit into these. */
    public boolean canFit(Resources other) {
        return other.cpus <= cpus + ROUNDING
                && other.gpus <= gpus + ROUNDING
                && other.memoryGb <= memoryGb + ROUNDING
                && other.heartbeatBytes <= heartbeatBytes;
    }

    /** Whether the request of one task of a job fits into these. */
    public boolean canFit(Submission task) {
        return task.cpus() <= cpus + ROUNDING
                && task.gpus() <= gpus + ROUNDING
                && task.memoryGb() <= memoryGb + ROUNDING
                && HeartbeatSize.maxBytes(task) <= heartbeatBytes;
    }
}
