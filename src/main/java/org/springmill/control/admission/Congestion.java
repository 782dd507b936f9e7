package org.springmill.control.admission;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.springmill.protocol.PeerMessages.CongestedQueue;
import org.springmill.protocol.Priority;
import org.springmill.protocol.Submission;

/**
 * The queues that the leader last found to wait too long. What it said counts for a few of its
 * intervals; a controller that hears nothing knows of no congestion, and its submissions are
 * bounded by memory alone.
 */
public final class Congestion {
    private record Queue(String team, Priority priority) {}

    private final double validSeconds;
    private final Map<Queue, Double> excessByQueue = new HashMap<>();
    private double updatedAt = Double.NEGATIVE_INFINITY;

    /**
     * @param validSeconds for how long what the leader said counts
     */
    public Congestion(double validSeconds) {
        this.validSeconds = validSeconds;
    }

    /** Takes the queues that wait too long; what was said before no longer counts. */
    public void update(List<CongestedQueue> queues, double now) {
        updatedAt = now;
        excessByQueue.clear();
        for (CongestedQueue queue : queues) {
            excessByQueue.put(new Queue(queue.team(), queue.priority()), queue.excessSeconds());
        }
    }

    /** By how much the wait of a job's queue is too long; 0 if it is not. */
    double excessSeconds(Submission job, double now) {
        if (now - updatedAt > validSeconds) {
            return 0;
        }
        Queue ofTeam = new Queue(job.team(), job.priority());
        Queue ofAll = new Queue(CongestedQueue.ALL_TEAMS, job.priority());
        return Math.max(
                excessByQueue.getOrDefault(ofTeam, 0.0), excessByQueue.getOrDefault(ofAll, 0.0));
    }

    /** Queues that wait too long, as far as is known. */
    public int queues(double now) {
        return now - updatedAt > validSeconds ? 0 : excessByQueue.size();
    }
}
