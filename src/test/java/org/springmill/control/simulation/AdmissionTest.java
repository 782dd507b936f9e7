package org.springmill.control.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.springmill.sim.RetryingUsers;
import org.springmill.sim.SimNetwork.Delivery;
import org.springmill.sim.SimOptions;
import org.springmill.sim.SimulatedCluster;
import org.springmill.transport.HttpClient.Reply;
import org.springmill.transport.HttpClient.Request;

/**
 * Three controllers that refuse submissions: at the limit on the memory for jobs, when a queue
 * waits too long, and when users submit faster than the key-value store takes changes.
 */
class AdmissionTest extends ClusterFixture {
    /**
     * Live jobs of low priority that fit into {@link #SMALL_HEAP}: a job needs 1,600 bytes, jobs
     * may use 0.4 of the heap, and low priority 0.7 of that.
     */
    private static final int LOW_JOBS = 100;

    private static final double SMALL_HEAP = LOW_JOBS / 0.7 * 1600 / 0.4;

    /** Changes per second that the key-value store takes from all controllers together. */
    private static final double CHANGES_PER_SECOND = 20;

    /**
     * Time from the check of a submission against the limit until all controllers know its record.
     */
    private static final double PROPAGATION_SECONDS = 3.5;

    private static final int MAX_EXCESS = (int) (CHANGES_PER_SECOND * PROPAGATION_SECONDS);

    private int lastJobNumber = 100_000;

    private void startSmall(SimOptions options) {
        startCluster(new SimulatedCluster(options.withHeapBytes(SMALL_HEAP)));
    }

    private ObjectNode job(String team, String priority, double gpus) {
        String id = "run-" + ++lastJobNumber;
        ObjectNode job = SimulatedCluster.job(id, team, "sweep", 1, 1, gpus);
        job.put("urgency", priority);
        return job;
    }

    private Reply submit(int controller, ObjectNode job) {
        cluster.setRunSeconds(job.path("nameId").asText(), FOREVER);
        return cluster.ask(controller, "POST", "/submissions", job.toString());
    }

    /**
     * Submits jobs of low priority until they are refused. Alternates between two teams because one
     * team alone may not use the whole share of low priority.
     */
    private List<ObjectNode> fillLowPriority() {
        List<ObjectNode> accepted = new ArrayList<>();
        for (int i = 0; i < 4 * LOW_JOBS && !manyRefused(accepted, i); i++) {
            ObjectNode job = job(i % 2 == 0 ? "red" : "blue", "best_effort", 1);
            if (submit(i % CONTROLLERS, job).status() == 201) {
                accepted.add(job);
            }
        }
        return accepted;
    }

    private static boolean manyRefused(List<ObjectNode> accepted, int submitted) {
        return submitted - accepted.size() > 20;
    }

    private double metric(int controller, String name) {
        cluster.run(1.1);
        String text =
                new String(
                        cluster.ask(controller, "GET", "/metrics", "").body(),
                        StandardCharsets.UTF_8);
        return text.lines()
                .filter(line -> line.startsWith("springmill_" + name + " "))
                .mapToDouble(line -> Double.parseDouble(line.substring(line.indexOf(' ') + 1)))
                .sum();
    }

    /** The refusal is immediate and says when to retry; nothing of the refused job is stored. */
    @Test
    void submissionsBeyondTheMemoryLimitAreRefusedWithARetryTime() {
        startSmall(SimOptions.DEFAULTS);
        List<ObjectNode> accepted = fillLowPriority();
        assertTrue(accepted.size() >= LOW_JOBS * 0.9, accepted.size() + " accepted");
        assertTrue(accepted.size() <= LOW_JOBS, accepted.size() + " accepted one after another");
        ObjectNode refused = job("blue", "best_effort", 1);
        double before = cluster.clock().now();
        Reply answer = submit(follower(), refused);
        assertEquals(503, answer.status());
        assertTrue(answer.retryAfterSeconds() >= 1 && answer.retryAfterSeconds() <= 30);
        assertTrue(cluster.clock().now() - before < 0.5, "answered within 0.5 s");
        assertEquals(404, cluster.ask(0, "GET", "/submissions/" + idOf(refused), "").status());
        assertTrue(metric(follower(), "submissions_refused_memory_total") > 0);
    }

    private static String idOf(ObjectNode job) {
        return job.path("nameId").asText();
    }

    /**
     * The limit can be exceeded only by jobs that a controller admits before it has read the
     * records of the others.
     */
    @Test
    void controllersAdmittingConcurrentlyExceedTheLimitOnlyByUnreadRecords() {
        startSmall(SimOptions.DEFAULTS);
        int[] accepted = new int[1];
        for (int i = 0; i < 6 * LOW_JOBS; i++) {
            ObjectNode job = job(i % 2 == 0 ? "red" : "blue", "best_effort", 1);
            cluster.setRunSeconds(idOf(job), FOREVER);
            cluster.clock()
                    .after(
                            i / 20.0,
                            () ->
                                    cluster.sendAsUser(
                                            idOf(job).charAt(idOf(job).length() - 1) % CONTROLLERS,
                                            "POST",
                                            "/submissions",
                                            job.toString(),
                                            5,
                                            reply -> accepted[0] += reply.status() == 201 ? 1 : 0));
        }
        cluster.run(40);
        assertTrue(accepted[0] >= LOW_JOBS * 0.9, accepted[0] + " accepted");
        assertTrue(accepted[0] <= LOW_JOBS + MAX_EXCESS, accepted[0] + " accepted");
    }

    /**
     * A controller that cannot read the records of the others must not use the room that they may
     * have used.
     */
    @Test
    void aControllerThatCannotReadRecordsOfOthersRefusesBelowTheLimit() {
        startSmall(SimOptions.DEFAULTS);
        int stale = follower();
        String staleName = "n-" + stale;
        cluster.network()
                .setDeliveryRule(
                        (from, request) ->
                                from.equals(staleName) && request.path().startsWith("/changes")
                                        ? Delivery.DROP
                                        : Delivery.DELIVER);
        int acceptedByOthers = 0;
        int acceptedByStale = 0;
        for (int i = 0; i < 2 * LOW_JOBS; i++) {
            String team = i % 2 == 0 ? "red" : "blue";
            int other = (stale + 1 + i % 2) % CONTROLLERS;
            acceptedByOthers += accepts(other, job(team, "best_effort", 1));
            acceptedByStale += accepts(stale, job(team, "best_effort", 1));
        }
        assertTrue(
                acceptedByOthers <= LOW_JOBS,
                acceptedByOthers + " accepted by the other controllers");
        assertTrue(
                acceptedByStale <= 0.9 * LOW_JOBS,
                acceptedByStale + " accepted by the lagging controller");
        deliverAllMessages();
        cluster.run(20);
        assertEquals(503, submit(stale, job("blue", "best_effort", 1)).status());
    }

    private int accepts(int controller, ObjectNode job) {
        return submit(controller, job).status() == 201 ? 1 : 0;
    }

    @Test
    void aRepeatedSubmissionIsNeverRefused() {
        startSmall(SimOptions.DEFAULTS);
        List<ObjectNode> accepted = fillLowPriority();
        for (int i = 0; i < CONTROLLERS; i++) {
            assertEquals(200, submit(i, accepted.get(i)).status());
        }
    }

    /** The user repeats the submission at another controller, which has not read the record yet. */
    @Test
    void aSubmissionWithALostResponseIsRecognizedAtTheLimitAndCountedOnce() {
        startSmall(SimOptions.DEFAULTS);
        List<ObjectNode> accepted = fillLowPriority();
        ObjectNode last = job("red", "best_effort", 1);
        cluster.network()
                .setDeliveryRule((from, request) -> fateOfRequest(from, request, idOf(last)));
        // The watches of controller 1 are lost from now on, so by its own count it is at the limit.
        cluster.run(15);
        cluster.cancel(0, idOf(accepted.get(0)));
        cluster.run(1);
        cluster.sendAsUser(0, "POST", "/submissions", last.toString(), 5, reply -> {});
        cluster.run(0.1);
        assertEquals(200, submit(1, last).status());
        deliverAllMessages();
        cluster.run(15);
        assertEquals(accepted.size(), metric(1, "live_jobs"));
        assertEquals(accepted.size(), metric(0, "live_jobs"));
    }

    private static Delivery fateOfRequest(String from, Request request, String id) {
        String body = new String(request.body(), StandardCharsets.UTF_8);
        if (request.path().equals("/commit") && body.contains(id)) {
            return Delivery.LOSE_RESPONSE;
        }
        boolean watch =
                request.path().startsWith("/changes") && !request.path().endsWith("waitMs=0");
        return watch && from.equals("n-1") ? Delivery.DROP : Delivery.DELIVER;
    }

    /** Jobs of low priority cannot use the room for urgent and production jobs. */
    @Test
    void urgentAndProductionJobsAreAcceptedWhenLowPriorityIsRefused() {
        startSmall(SimOptions.DEFAULTS);
        fillLowPriority();
        assertEquals(503, submit(0, job("blue", "best_effort", 1)).status());
        assertEquals(201, submit(0, job("blue", "urgent", 1)).status());
        assertEquals(201, submit(1, job("blue", "prod", 1)).status());
    }

    /**
     * Team red is guaranteed eight GPUs and has no jobs; team blue has submitted as many as it may.
     */
    @Test
    void manySubmissionsOfOneTeamLeaveRoomForGuaranteesOfOthers() {
        startSmall(SimOptions.DEFAULTS);
        int flooded = 0;
        for (int i = 0; i < 3 * LOW_JOBS; i++) {
            flooded += submit(i % CONTROLLERS, job("blue", "prod", 1)).status() == 201 ? 1 : 0;
        }
        assertTrue(flooded <= LOW_JOBS / 0.7 * 0.95 / 2 + 8, flooded + " of one team");
        assertEquals(503, submit(0, job("blue", "prod", 1)).status());
        for (int i = 0; i < 8; i++) {
            assertEquals(201, submit(i % CONTROLLERS, job("red", "best_effort", 1)).status());
        }
    }

    /** Controllers that are restarted with less memory hold more jobs than the new limit. */
    @Test
    void noJobIsDroppedWhenALeaderStartsAboveTheLimit() {
        startSmall(SimOptions.DEFAULTS);
        List<ObjectNode> accepted = fillLowPriority();
        cluster.setHeapBytes(SMALL_HEAP / 4);
        for (int i = 0; i < CONTROLLERS; i++) {
            cluster.restart(i);
            cluster.run(10);
        }
        assertNotEquals(-1, cluster.leader());
        for (ObjectNode job : accepted) {
            Reply answer = cluster.ask(0, "GET", "/submissions/" + idOf(job), "");
            assertEquals(200, answer.status(), idOf(job));
        }
        assertEquals(503, submit(0, job("blue", "best_effort", 1)).status());
        assertEquals(200, submit(1, accepted.get(0)).status());
        for (ObjectNode job : accepted) {
            assertEquals("cancelled", cluster.cancel(2, idOf(job)));
        }
        cluster.run(5);
        assertEquals(201, submit(0, job("blue", "best_effort", 1)).status());
    }

    /** Recovery needs no operator: once there is room, retried submissions are accepted. */
    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3})
    void goodputRecoversAfterABurstOfThreeTimesTheDrainRate(int seed) {
        startCluster(seed);
        RetryingUsers users = new RetryingUsers(cluster, seed);
        double burstSeconds = 20;
        double burstStart = cluster.clock().now();
        int burst = (int) (3 * CHANGES_PER_SECOND * burstSeconds);
        for (int i = 0; i < burst; i++) {
            ObjectNode job = job(i % 2 == 0 ? "red" : "blue", "normal", 0);
            cluster.clock().after(i * burstSeconds / burst, () -> users.submit(job, FOREVER));
        }
        cluster.run(burstSeconds);
        int duringBurst = users.accepted();
        assertTrue(
                duringBurst >= 0.5 * CHANGES_PER_SECOND * burstSeconds,
                duringBurst + " accepted during the burst");
        cluster.run(70);
        assertEquals(burst, users.accepted() + users.gaveUp());
        // Goodput does not fall: a refusal costs no write to the key-value store.
        double drainSeconds = cluster.clock().now() - burstStart;
        assertTrue(
                users.accepted() >= 0.5 * CHANGES_PER_SECOND * Math.min(drainSeconds, 80),
                users.accepted() + " accepted in total");
        users.submit(job("red", "normal", 0), FOREVER);
        cluster.run(5);
        assertTrue(users.lastAcceptanceSeconds() < 1, users.lastAcceptanceSeconds() + " s");
    }

    /**
     * All submissions of a 30 s outage are retried after it: their retry times are spread, and none
     * is given up.
     */
    @Test
    void retriesAfterAnOutageOfTheStateServiceAreAccepted() {
        startCluster(1);
        RetryingUsers users = new RetryingUsers(cluster, 1);
        cluster.keyValueStore().setDown(true);
        int waiting = 200;
        for (int i = 0; i < waiting; i++) {
            ObjectNode job = job(i % 2 == 0 ? "red" : "blue", "normal", 0);
            cluster.clock().after(i * 30.0 / waiting, () -> users.submit(job, FOREVER));
        }
        cluster.run(30);
        cluster.keyValueStore().setDown(false);
        cluster.run(25);
        assertEquals(waiting, users.accepted(), "within 25 s of the end of the outage");
        assertEquals(0, users.gaveUp());
    }

    /**
     * More submissions are refused than can be looked up. If all were to retry after a second, they
     * would arrive together.
     */
    @Test
    void refusalsInABurstHaveARetryTimeBasedOnTheDrainRate() {
        startCluster(1);
        List<Reply> refused = new ArrayList<>();
        for (int i = 0; i < 600; i++) {
            String body = job(i % 2 == 0 ? "red" : "blue", "normal", 0).toString();
            cluster.sendAsUser(
                    i % CONTROLLERS,
                    "POST",
                    "/submissions",
                    body,
                    5,
                    reply -> {
                        if (reply.status() == 503) {
                            refused.add(reply);
                        }
                    });
        }
        cluster.run(5);
        assertTrue(refused.size() > 300, refused.size() + " refused");
        long early = refused.stream().filter(reply -> reply.retryAfterSeconds() < 2).count();
        assertEquals(0, early, "refusals with a retry time below 2 s");
        long reasons = refused.stream().map(AdmissionTest::textOf).distinct().count();
        assertEquals(1, reasons, "the same reason for all");
    }

    private static String textOf(Reply reply) {
        return new String(reply.body(), StandardCharsets.UTF_8);
    }

    /**
     * With a slow key-value store, a submission that cannot be committed before its user's timeout
     * is refused.
     */
    @Test
    void submissionsAreRefusedRatherThanHeldWhileTheStateServiceIsSlow() {
        startCluster(1);
        cluster.network()
                .delayRequests((from, request) -> request.path().equals("/commit") ? 0.8 : 0);
        RetryingUsers users = new RetryingUsers(cluster, 1);
        for (int i = 0; i < 600; i++) {
            ObjectNode job = job(i % 2 == 0 ? "red" : "blue", "normal", 0);
            cluster.clock().after(i / 60.0, () -> users.submit(job, FOREVER));
        }
        cluster.run(80);
        assertEquals(0, users.answers(0), "every user has an answer within five seconds");
        assertTrue(users.accepted() > 300, users.accepted() + " accepted");
    }

    /**
     * Jobs are refused while their queue would wait longer than the limit of the operators, until
     * it drains.
     */
    @Test
    void jobsAreRefusedWhileTheirQueueWaitsTooLongAndAcceptedOnceItDrains() {
        startCluster(new SimulatedCluster(SimOptions.DEFAULTS.withMaxWait(60)));
        ObjectNode large = SimulatedCluster.job("run-000050", "blue", "sweep", 2000, 1, 1);
        cluster.setRunSeconds("run-000050", 30);
        assertEquals(201, cluster.submit(follower(), large, 30));
        cluster.run(60);
        for (int i = 0; i < CONTROLLERS; i++) {
            assertEquals(503, submit(i, job("blue", "normal", 1)).status(), "at " + i);
        }
        assertEquals(
                201, submit(0, job("blue", "prod", 1)).status(), "higher priority than the queue");
        assertEquals(201, submit(1, job("red", "best_effort", 1)).status(), "guaranteed");
        assertTrue(metric(cluster.leader(), "congested_queues") > 0);
        cluster.kill(cluster.leader());
        cluster.run(10);
        assertEquals(200, submit(cluster.leader(), large).status(), "known to the next leader");
        assertEquals("cancelled", cluster.cancel(cluster.leader(), "run-000050"));
        cluster.run(12);
        assertEquals(201, submit(cluster.leader(), job("blue", "normal", 1)).status());
    }
}
