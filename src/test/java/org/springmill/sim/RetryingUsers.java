package org.springmill.sim;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.springmill.transport.HttpClient.Reply;

/**
 * Users who submit one job each, at random controllers, and submit it again as the protocol has it:
 * after a second, or after the time that the answer named, for a minute in all.
 */
public final class RetryingUsers {
    private static final double ANSWER_SECONDS = 5;
    private static final double RETRY_SECONDS = 1;
    private static final double GIVE_UP_SECONDS = 60;

    private final SimulatedCluster cluster;
    private final SplittableRandom random;
    private final List<Double> acceptedAt = new ArrayList<>();
    private final List<Double> acceptanceSeconds = new ArrayList<>();
    private final TreeMap<Integer, Integer> answersByStatus = new TreeMap<>();
    private int attempts;
    private int gaveUp;

    public RetryingUsers(SimulatedCluster cluster, long seed) {
        this.cluster = cluster;
        random = new SplittableRandom(seed);
    }

    /** A user submits a job now, and again until it is accepted. */
    public void submit(ObjectNode job, double taskRunSeconds) {
        cluster.setRunSeconds(job.path("nameId").asText(), taskRunSeconds);
        submit(job.toString(), cluster.clock().now());
    }

    private void submit(String job, double since) {
        if (cluster.clock().now() - since > GIVE_UP_SECONDS) {
            gaveUp++;
            return;
        }
        attempts++;
        int controller = random.nextInt(SimSettings.CONTROLLERS);
        cluster.user(
                controller,
                "POST",
                "/submissions",
                job,
                ANSWER_SECONDS,
                reply -> answered(job, since, reply));
    }

    private void answered(String job, double since, Reply reply) {
        answersByStatus.merge(reply.status(), 1, Integer::sum);
        double now = cluster.clock().now();
        if (reply.status() == 200 || reply.status() == 201) {
            acceptedAt.add(now);
            acceptanceSeconds.add(now - since);
            return;
        }
        double pause = Math.max(RETRY_SECONDS, reply.retryAfterSeconds());
        cluster.clock().after(pause, () -> submit(job, since));
    }

    /** Jobs that were accepted. */
    public int accepted() {
        return acceptedAt.size();
    }

    /** Jobs that were accepted at or after a moment. */
    public int acceptedSince(double moment) {
        return (int) acceptedAt.stream().filter(at -> at >= moment).count();
    }

    /** How long the user of the job that was accepted last had waited, from the first attempt. */
    public double lastAcceptanceSeconds() {
        return acceptanceSeconds.get(acceptanceSeconds.size() - 1);
    }

    /** Users who were not served within their patience. */
    public int gaveUp() {
        return gaveUp;
    }

    /** Requests sent. */
    public int attempts() {
        return attempts;
    }

    /** Answers with a status; 0 for none in time. */
    public int answers(int status) {
        return answersByStatus.getOrDefault(status, 0);
    }
}
