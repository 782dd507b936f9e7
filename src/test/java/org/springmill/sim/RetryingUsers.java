package org.springmill.sim;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.springmill.transport.HttpClient.Reply;

/**
 * Users who submit one job each, at random controllers, and retry as the protocol prescribes: after
 * 1 s, or after a longer delay that the answer names, for 60 s in all.
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

    /** Submits a job as a new user, who retries until it is accepted or 60 s have passed. */
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
        cluster.sendAsUser(
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
        double delay = Math.max(RETRY_SECONDS, reply.retryAfterSeconds());
        cluster.clock().after(delay, () -> submit(job, since));
    }

    /** The number of jobs that were accepted. */
    public int accepted() {
        return acceptedAt.size();
    }

    /** The number of jobs that were accepted at or after {@code moment}. */
    public int acceptedSince(double moment) {
        return (int) acceptedAt.stream().filter(at -> at >= moment).count();
    }

    /** The time from first attempt to acceptance of the job that was accepted last. */
    public double lastAcceptanceSeconds() {
        return acceptanceSeconds.get(acceptanceSeconds.size() - 1);
    }

    /** The number of users who stopped retrying after 60 s. */
    public int gaveUp() {
        return gaveUp;
    }

    /** The number of requests sent. */
    public int attempts() {
        return attempts;
    }

    /** The number of answers with a status; status 0 counts requests without an answer in time. */
    public int answers(int status) {
        return answersByStatus.getOrDefault(status, 0);
    }
}
