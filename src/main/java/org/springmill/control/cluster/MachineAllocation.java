package org.springmill.control.cluster;

import java.util.HashSet;
import java.util.Set;
import org.springmill.protocol.CloudMessages.MachineType;
import org.springmill.protocol.Resources;
import org.springmill.protocol.Submission;

/** The resources of one machine: capacity, used, expected to be needed, and reserved for jobs. */
public final class MachineAllocation {
    private Resources capacity = Resources.NONE;
    private Resources used = Resources.NONE;

    /** Capacity minus used; stored, since placement reads it for each job and machine. */
    private Resources free = Resources.NONE;

    /** Bytes of tasks in the worker's heartbeats that use nothing else any more. */
    private double unclearedBytes;

    private Resources headroom = Resources.NONE;
    private final Set<Job> reservedFor = new HashSet<>();
    private double reservedUntil;

    /** Sets the capacity to that of a machine type; to none for null. */
    void setCapacity(MachineType type) {
        capacity = type == null ? Resources.NONE : type.capacity();
        updateFree();
    }

    private void updateFree() {
        free = capacity.minus(used).minus(new Resources(0, 0, 0, unclearedBytes));
    }

    /** Adds a task to the used resources (sign 1) or removes it (sign -1). */
    void charge(Submission task, int sign) {
        used = used.plus(Resources.of(task).times(sign));
        updateFree();
    }

    /** Adds bytes that the worker's heartbeats carry until it has forgotten ended tasks. */
    void addUncleared(double bytes) {
        unclearedBytes += bytes;
        updateFree();
    }

    /** Sets the bytes that the worker's heartbeats carry until it has forgotten ended tasks. */
    void setUncleared(double bytes) {
        unclearedBytes = bytes;
        updateFree();
    }

    /** Sets the used resources to none, which drops the rounding errors of earlier tasks. */
    void reset() {
        used = Resources.NONE;
        updateFree();
    }

    /** Resources that no task uses; none while the machine's type is unknown. */
    Resources free() {
        return capacity.equals(Resources.NONE) ? Resources.NONE : free;
    }

    /** Sets how much of the free resources is set aside for tasks that are expected to arrive. */
    public void headroom(Resources resources) {
        headroom = resources;
    }

    /** Free resources that are set aside for tasks that are expected to arrive. */
    public Resources headroom() {
        return headroom;
    }

    /**
     * Reserves the machine for a job that others are preempted for. Preempted tasks stop at
     * different times. Without the reservation other work, mostly the task just preempted, takes
     * the resources that are already free and is preempted again, dozens of times a second.
     */
    public void reserveFor(Job job, double until) {
        reservedFor.add(job);
        reservedUntil = Math.max(reservedUntil, until);
    }

    /** Whether the machine is reserved for other jobs than this one. */
    public boolean isReservedForOthers(Job job, double now) {
        Set<Job> jobs = reservedFor(now);
        return !jobs.isEmpty() && !jobs.contains(job);
    }

    /** The jobs that the machine is reserved for and that still have a waiting task. */
    public Set<Job> reservedFor(double now) {
        if (now >= reservedUntil) {
            reservedFor.clear();
        } else {
            reservedFor.removeIf(other -> !other.isActive() || other.nextWaitingTask() < 0);
        }
        return reservedFor;
    }
}
