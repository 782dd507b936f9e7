package org.springmill.control.admission;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.springmill.protocol.PeerMessages.CongestedQueue;
import org.springmill.protocol.Priority;
import org.springmill.protocol.Submission;

/**
 * The congested queues in the leader's latest notice, which is valid for a few notice intervals.
 * Without a valid notice no queue counts as congested, and no submission is refused for a long
 * wait.
 */
public final class Congestion {
    /** The waiting tasks of one team, or of all teams, with at least this priority. */
    private record Queue(String team, Priority priority) {}

    private final double validSeconds;
    private final Map<Queue, Double> excessByQueue = new HashMap<>();
    private double updatedAt = Double.NEGATIVE_INFINITY;

    /**
     * Creates an instance without a notice.
     *
     * @param validSeconds how long a notice is valid
     */
    public Congestion(double validSeconds) {
        this.validSeconds = validSeconds;
    }

    /** Replaces the congested queues by those of a new notice. */
    public void update(List<CongestedQueue> queues, double now) {
        updatedAt = now;
        excessByQueue.clear();
        for (CongestedQueue queue : queues) {
            excessByQueue.put(new Queue(queue.team(), queue.priority()), queue.excessSeconds());
        }
    }

    /** Seconds by which the expected wait in a job's queues exceeds the maximum, or 0. */
    double excessSeconds(Submission job, double now) {
        if (!isValid(now)) {
            return 0;
        }
        Queue ofTeam = new Queue(job.team(), job.priority());
        Queue ofAll = new Queue(CongestedQueue.ALL_TEAMS, job.priority());
        return Math.max(
                excessByQueue.getOrDefault(ofTeam, 0.0), excessByQueue.getOrDefault(ofAll, 0.0));
    }

    /** Number of congested queues in the latest valid notice. */
    public int queues(double now) {
        return isValid(now) ? excessByQueue.size() : 0;
    }

    private boolean isValid(double now) {
        return now - updatedAt <= validSeconds;
    }
}
