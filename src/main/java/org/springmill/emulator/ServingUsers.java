package org.springmill.emulator;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.springmill.emulator.Measurements.Latency;
import org.springmill.protocol.JobKind;
import org.springmill.protocol.Priority;
import org.springmill.protocol.Submission;
import org.springmill.protocol.TaskId;
import org.springmill.transport.EventLoop;
import org.springmill.transport.HttpClient;
import org.springmill.transport.HttpClient.Reply;
import org.springmill.transport.HttpClient.Request;

/**
 * Emulates the users of a model: they send requests at a constant rate, which is multiplied during
 * the surge, and submit and cancel replicas to follow the rate.
 */
final class ServingUsers {
    /** Path of requests to a model server. */
    static final String PATH = "/infer";

    private static final double SCALE_INTERVAL_SECONDS = 1;
    private static final double REQUEST_TIMEOUT_SECONDS = 4;

    /** There are enough replicas if each is busy for at most this share of the time. */
    private static final double TARGET_UTILISATION = 0.8;

    private static final byte[] EMPTY = new byte[0];

    private final EventLoop loop;
    private final HttpClient client;
    private final Scenario.Serving serving;
    private final EmulatedUsers users;
    private final Measurements measurements;
    private final SplittableRandom random;

    /** Addresses of running replicas, by task. */
    private final Map<TaskId, String> running = new HashMap<>();

    private final Map<String, Double> submittedAt = new HashMap<>();
    private final Map<String, Double> loadedAt = new HashMap<>();
    private final ArrayDeque<String> replicas = new ArrayDeque<>();
    private double startedAt;
    private long answered;
    private long refused;
    private long unanswered;
    private boolean stopped;

    ServingUsers(
            EventLoop loop,
            HttpClient client,
            Scenario.Serving serving,
            EmulatedUsers users,
            Measurements measurements,
            SplittableRandom random) {
        this.loop = loop;
        this.client = client;
        this.serving = serving;
        this.users = users;
        this.measurements = measurements;
        this.random = random;
    }

    /** Starts to submit replicas and to send requests. */
    void start() {
        startedAt = loop.now();
        scale();
        sendNext();
    }

    /** Stops sending requests and submitting or cancelling replicas. */
    void stop() {
        stopped = true;
    }

    /** Current rate of requests per second. */
    double demand() {
        double second = loop.now() - startedAt;
        boolean surge =
                second >= serving.surgeAtSeconds()
                        && second < serving.surgeAtSeconds() + serving.surgeForSeconds();
        return serving.demandPerSecond() * (surge ? serving.surgeFactor() : 1);
    }

    /** Requests per second that the loaded replicas can answer. */
    double capacity() {
        double now = loop.now();
        long loaded =
                running.keySet().stream()
                        .filter(task -> loadedAt.getOrDefault(task.job(), now + 1) <= now)
                        .count();
        return loaded * serving.requestsPerSecond();
    }

    long answered() {
        return answered;
    }

    /** Number of requests that were refused, or for which no replica was running. */
    long refused() {
        return refused;
    }

    /** Number of requests without an answer within the time-out. */
    long unanswered() {
        return unanswered;
    }

    /**
     * A task runs on its machine. If it is a replica of the model, it gets requests from now on.
     */
    void started(TaskId task, String address) {
        Double submitted = submittedAt.get(task.job());
        if (submitted == null) {
            return;
        }
        running.put(task, address);
        double loaded = loop.now() + serving.loadSeconds();
        if (loadedAt.put(task.job(), loaded) == null) {
            loop.after(
                    serving.loadSeconds(),
                    () -> measurements.latency(Latency.SERVING, loop.now() - submitted));
        }
    }

    /** A task is no longer on its machine. */
    void ended(TaskId task) {
        running.remove(task);
    }

    private void scale() {
        if (stopped) {
            return;
        }
        int wanted = wanted();
        while (replicas.size() < wanted) {
            Submission replica = replica();
            replicas.addLast(replica.id());
            submittedAt.put(replica.id(), loop.now());
            users.submitService(replica);
        }
        while (replicas.size() > wanted) {
            users.cancelService(replicas.removeLast());
        }
        loop.after(SCALE_INTERVAL_SECONDS, this::scale);
    }

    private int wanted() {
        double perReplica = serving.requestsPerSecond() * TARGET_UTILISATION;
        return (int) Math.ceil(demand() / perReplica);
    }

    private Submission replica() {
        return new Submission(
                users.nextId(),
                "serving",
                EmulatedUsers.teamName(serving.team()),
                JobKind.SERVICE,
                Priority.PRODUCTION,
                1,
                serving.cpus(),
                serving.gpus(),
                serving.memoryGb(),
                "serving-image",
                serving.imageGb(),
                null,
                null,
                false,
                false,
                false,
                0,
                0,
                0,
                null,
                List.of());
    }

    private void sendNext() {
        if (stopped) {
            return;
        }
        send();
        double wait = -Math.log(1 - random.nextDouble()) / demand();
        loop.after(wait, this::sendNext);
    }

    private void send() {
        if (running.isEmpty()) {
            refused++;
            return;
        }
        List<TaskId> tasks = new ArrayList<>(running.keySet());
        TaskId task = tasks.get(random.nextInt(tasks.size()));
        Request request =
                new Request(running.get(task), "POST", PATH, EMPTY, REQUEST_TIMEOUT_SECONDS);
        double sentAt = loop.now();
        client.send(request, reply -> answered(reply, sentAt));
    }

    private void answered(Reply reply, double sentAt) {
        if (reply.ok()) {
            answered++;
            measurements.latency(Latency.REQUEST, loop.now() - sentAt);
        } else if (reply.answered()) {
            refused++;
        } else {
            unanswered++;
        }
    }
}
