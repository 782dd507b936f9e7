package org.springmill.control.cluster;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.springmill.protocol.HeartbeatSize;
import org.springmill.protocol.TaskId;
import org.springmill.protocol.WorkerMessages.TaskStatus;

/**
 * The attempts on one machine and the tasks that its worker reports, with what both take of the
 * machine's resources.
 */
final class MachineTasks {
    private final Map<TaskId, TaskAttempt> attempts = new LinkedHashMap<>();
    private final MachineAllocation allocation;
    private final ImageCache images;
    private List<TaskStatus> reported = List.of();
    private boolean areReportedKnown = true;
    private double idleSince;

    /**
     * A machine without attempts.
     *
     * @param allocation is charged with what attempts and reported tasks take
     * @param images a fetch there is cancelled when no attempt waits for it any more
     */
    MachineTasks(MachineAllocation allocation, ImageCache images, double now) {
        this.allocation = allocation;
        this.images = images;
        idleSince = now;
    }

    /** A live view of the attempts, in the order in which they were added. */
    Collection<TaskAttempt> attempts() {
        return attempts.values();
    }

    /** The tasks in the latest heartbeat. */
    List<TaskStatus> reported() {
        return reported;
    }

    /** Whether every reported task has an attempt, and neither has changed since that was found. */
    boolean areReportedKnown() {
        return areReportedKnown;
    }

    /** Records that every reported task has an attempt. */
    void markReportedKnown() {
        areReportedKnown = true;
    }

    /** When the last attempt was removed; if there never was one, when the machine became known. */
    double idleSince() {
        return idleSince;
    }

    /** Replaces the reported tasks by those of a newer heartbeat. */
    void reported(List<TaskStatus> tasks) {
        reported = tasks;
        areReportedKnown = false;
        allocation.setUncleared(unclearedBytes());
    }

    /** Bytes of the reported tasks that no attempt accounts for, or only a released one. */
    private double unclearedBytes() {
        double bytes = 0;
        for (TaskStatus status : reported) {
            if (findAttempt(status) == null) {
                bytes += HeartbeatSize.maxBytes(status.task());
            }
        }
        for (TaskAttempt attempt : attempts.values()) {
            bytes += attempt.isReleased() ? heartbeatBytes(attempt) : 0;
        }
        return bytes;
    }

    private static double heartbeatBytes(TaskAttempt attempt) {
        return HeartbeatSize.maxBytes(attempt.job().spec());
    }

    /** The attempt that a reported task belongs to; null if there is none. */
    TaskAttempt findAttempt(TaskStatus task) {
        TaskAttempt attempt = attempts.get(task.task());
        return attempt != null && attempt.claim().round() == task.attempt() ? attempt : null;
    }

    /** Adds an attempt and allocates its resources. */
    void add(TaskAttempt attempt) {
        areReportedKnown = false;
        attempts.put(attempt.claim().task(), attempt);
        allocation.charge(attempt.job().spec(), 1);
    }

    /** Frees the resources of an attempt, but not its part of the heartbeat. */
    void releaseResources(TaskAttempt attempt) {
        if (!attempt.isReleased() && attempts.get(attempt.claim().task()) == attempt) {
            attempt.markReleased();
            allocation.charge(attempt.job().spec(), -1);
            allocation.addUncleared(heartbeatBytes(attempt));
        }
    }

    /**
     * Removes an attempt.
     *
     * @param lastHeartbeatAt when the latest heartbeat arrived
     */
    void remove(TaskAttempt attempt, double lastHeartbeatAt, double now) {
        if (!attempts.remove(attempt.claim().task(), attempt)) {
            return;
        }
        areReportedKnown = false;
        releaseRemoved(attempt, lastHeartbeatAt);
        String image = attempt.job().spec().image();
        if (attempt.runningSince() == 0 && !hasAttemptWithImage(image)) {
            images.cancelFetch(image, now);
        }
        if (attempts.isEmpty()) {
            idleSince = now;
            allocation.reset();
        }
    }

    /** Its worker reports a task that has ended until the command to forget it arrives. */
    private void releaseRemoved(TaskAttempt removed, double lastHeartbeatAt) {
        if (removed.isReleased()) {
            allocation.addUncleared(-heartbeatBytes(removed));
        } else {
            allocation.charge(removed.job().spec(), -1);
        }
        if (removed.lastReportedAt() >= lastHeartbeatAt) {
            allocation.addUncleared(heartbeatBytes(removed));
        }
    }

    private boolean hasAttemptWithImage(String image) {
        return attempts.values().stream()
                .anyMatch(attempt -> attempt.job().spec().image().equals(image));
    }
}
