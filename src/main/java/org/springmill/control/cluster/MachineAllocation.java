package org.springmill.control.cluster;

import java.util.HashSet;
import java.util.Set;
import org.springmill.protocol.CloudMessages.MachineType;
import org.springmill.protocol.Resources;
import org.springmill.protocol.Submission;

/** What of one machine is taken, what is counted on for work to come, and for whom room is kept. */
public final class MachineAllocation {
    private Resources capacity = Resources.NONE;
    private Resources used = Resources.NONE;

    /** The difference of the two; placement asks for it for each job and machine, so it is kept. */
    private Resources free = Resources.NONE;

    private Resources headroom = Resources.NONE;
    private final Set<Job> reservedFor = new HashSet<>();
    private double reservedUntil;

    /** Notes what a machine of its type has. */
    void setCapacity(MachineType type) {
        capacity =
                type == null
                        ? Resources.NONE
                        : new Resources(type.cpus(), type.gpus(), type.memoryGb());
        free = capacity.minus(used);
    }

    /** Adds a task to what is taken, or takes it out. */
    void charge(Submission task, int sign) {
        used = used.plus(Resources.of(task).times(sign));
        free = capacity.minus(used);
    }

    /** Nothing is taken any more; rounding errors end with the last task. */
    void reset() {
        used = Resources.NONE;
        free = capacity;
    }

    /** What no task takes; nothing is there while the machine's type is not known. */
    Resources free() {
        return capacity.equals(Resources.NONE) ? Resources.NONE : free;
    }

    /** Notes what of the free room is counted on for tasks that are expected to arrive. */
    public void headroom(Resources expected) {
        headroom = expected;
    }

    /** What of the free room is counted on for tasks that are expected to arrive. */
    public Resources headroom() {
        return headroom;
    }

    /**
     * Keeps the room that is being made for jobs that others gave way to. Tasks stop one by one:
     * whatever found room between them, mostly the one just stopped, had to be stopped again,
     * dozens of times a second.
     */
    public void reserveFor(Job job, double until) {
        reservedFor.add(job);
        reservedUntil = Math.max(reservedUntil, until);
    }

    /** Whether room is kept for other jobs than this one. */
    public boolean isReservedForOthers(Job job, double now) {
        Set<Job> kept = reservedFor(now);
        return !kept.isEmpty() && !kept.contains(job);
    }

    /** The jobs for which room is being made. */
    public Set<Job> reservedFor(double now) {
        if (now >= reservedUntil) {
            reservedFor.clear();
        } else {
            reservedFor.removeIf(other -> !other.active() || other.nextTask() < 0);
        }
        return reservedFor;
    }
}
