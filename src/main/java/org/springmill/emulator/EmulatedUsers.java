package org.springmill.emulator;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import org.springmill.emulator.JobRegistry.EmulatedJob;
import org.springmill.emulator.Measurements.Latency;
import org.springmill.emulator.Measurements.Message;
import org.springmill.emulator.Scenario.JobClass;
import org.springmill.protocol.Json;
import org.springmill.protocol.MalformedMessageException;
import org.springmill.protocol.Submission;
import org.springmill.protocol.UserMessages;
import org.springmill.protocol.UserMessages.JobPhase;
import org.springmill.protocol.counterpart.UserSideMessages;
import org.springmill.transport.EventLoop;
import org.springmill.transport.HttpClient;
import org.springmill.transport.HttpClient.Reply;
import org.springmill.transport.HttpClient.Request;

/**
 * Users of the published protocol: submit jobs, poll the status of each job until its final phase
 * and cancel services. Requests go to a random controller among those that answered the last
 * readiness probe, as a load balancer does; if none did, to any.
 */
final class EmulatedUsers {
    private static final double SUBMIT_TIMEOUT_SECONDS = 5;
    private static final double POLL_TIMEOUT_SECONDS = 2;
    private static final double RETRY_SECONDS = 1;
    private static final double PROBE_SECONDS = 1;
    private static final double ABANDON_AFTER_SECONDS = 60;
    private static final byte[] EMPTY = new byte[0];

    private final EventLoop loop;
    private final List<HttpClient> clients;
    private final List<String> controllers;
    private final Scenario scenario;
    private final JobRegistry jobs;
    private final RuleChecker rules;
    private final Measurements measurements;
    private final SplittableRandom random;
    private final boolean[] healthy;
    private final Map<String, Double> acceptedAt = new HashMap<>();
    private final Map<String, UserJob> services = new HashMap<>();
    private Consumer<String> onCancellation = id -> {};
    private int lastNumber;
    private long abandoned;
    private long acceptedCount;
    private boolean stopped;

    /** A job from its submission to its final phase, as its user sees it. */
    private final class UserJob {
        private final Submission spec;
        private final double lifeSeconds;
        private final double firstSubmittedAt = loop.now();
        private boolean accepted;
        private boolean cancelled;

        UserJob(Submission spec, double lifeSeconds) {
            this.spec = spec;
            this.lifeSeconds = lifeSeconds;
        }

        /** Cancels the job once it is accepted. */
        void cancel() {
            cancelled = true;
            if (accepted) {
                sendCancellation();
            }
        }

        void submit() {
            if (stopped) {
                return;
            }
            if (loop.now() - firstSubmittedAt > ABANDON_AFTER_SECONDS) {
                abandoned++;
                return;
            }
            byte[] body = Json.bytes(spec.toJson());
            send(
                    "POST",
                    UserMessages.SUBMISSIONS_PATH,
                    body,
                    SUBMIT_TIMEOUT_SECONDS,
                    this::submitted);
        }

        private void submitted(Reply reply) {
            measurements.outcome(Message.SUBMISSION, reply.status());
            measurements.message(
                    Message.SUBMISSION, Json.bytes(spec.toJson()).length, reply.body().length);
            if (reply.status() != 200 && reply.status() != 201) {
                countRefusal(reply);
                loop.after(Math.max(RETRY_SECONDS, reply.retryAfterSeconds()), this::submit);
                return;
            }
            accepted = true;
            acceptedCount++;
            acceptedAt.put(spec.id(), loop.now());
            measurements.latency(Latency.ACCEPTANCE, loop.now() - firstSubmittedAt);
            loop.after(scenario.users().pollSeconds() * random.nextDouble(), this::poll);
            if (cancelled) {
                sendCancellation();
            } else if (spec.isService()) {
                loop.after(randomised(lifeSeconds), this::sendCancellation);
            }
        }

        private void countRefusal(Reply reply) {
            if (reply.answered()) {
                measurements.refusal(UserSideMessages.decodeError(reply.body()));
            }
        }

        private void poll() {
            if (stopped || !acceptedAt.containsKey(spec.id())) {
                return;
            }
            double askedAt = loop.now();
            String path = UserMessages.SUBMISSIONS_PATH + "/" + spec.id();
            send("GET", path, EMPTY, POLL_TIMEOUT_SECONDS, reply -> polled(reply, askedAt));
        }

        private void polled(Reply reply, double askedAt) {
            measurements.outcome(Message.QUESTION, reply.status());
            measurements.message(Message.QUESTION, 0, reply.body().length);
            if (reply.status() == 404 && accepted) {
                rules.forgotten(spec.id());
            }
            if (reply.ok()) {
                measurements.latency(Latency.QUESTION, loop.now() - askedAt);
                phaseReceived(reply.body(), askedAt);
            }
            loop.after(scenario.users().pollSeconds(), this::poll);
        }

        private void phaseReceived(byte[] body, double askedAt) {
            try {
                JobPhase phase = UserSideMessages.decodePhase(body);
                rules.phaseReceived(spec.id(), phase, askedAt);
                if (phase.isTerminal()) {
                    acceptedAt.remove(spec.id());
                }
            } catch (MalformedMessageException e) {
                rules.forgotten(spec.id());
            }
        }

        private void sendCancellation() {
            if (stopped) {
                return;
            }
            String path =
                    UserMessages.SUBMISSIONS_PATH
                            + "/"
                            + spec.id()
                            + UserMessages.CANCELLATION_SUFFIX;
            double askedAt = loop.now();
            send(
                    "POST",
                    path,
                    EMPTY,
                    SUBMIT_TIMEOUT_SECONDS,
                    reply -> cancellationAnswered(reply, askedAt));
        }

        private void cancellationAnswered(Reply reply, double askedAt) {
            measurements.outcome(Message.WITHDRAWAL, reply.status());
            measurements.message(Message.WITHDRAWAL, 0, reply.body().length);
            if (reply.ok()) {
                phaseReceived(reply.body(), askedAt);
            } else {
                loop.after(RETRY_SECONDS, this::sendCancellation);
            }
        }
    }

    EmulatedUsers(
            EventLoop loop,
            List<HttpClient> clients,
            List<String> controllers,
            Scenario scenario,
            JobRegistry jobs,
            RuleChecker rules,
            Measurements measurements,
            SplittableRandom random) {
        this.loop = loop;
        this.clients = clients;
        this.controllers = controllers;
        this.scenario = scenario;
        this.jobs = jobs;
        this.rules = rules;
        this.measurements = measurements;
        this.random = random;
        healthy = new boolean[controllers.size()];
    }

    /** Starts to probe the readiness of the controllers, as a load balancer does. */
    void probe() {
        if (stopped) {
            return;
        }
        for (int i = 0; i < controllers.size(); i++) {
            int controller = i;
            Request request =
                    new Request(
                            controllers.get(i),
                            "GET",
                            UserMessages.READINESS_PATH,
                            EMPTY,
                            PROBE_SECONDS);
            clients.get(0).send(request, reply -> healthy[controller] = reply.ok());
        }
        loop.after(PROBE_SECONDS, this::probe);
    }

    /** Number of controllers that answered their last readiness probe. */
    int healthyControllers() {
        int count = 0;
        for (boolean isHealthy : healthy) {
            count += isHealthy ? 1 : 0;
        }
        return count;
    }

    /** Starts to submit the jobs of the scenario. */
    void start() {
        for (JobClass jobClass : scenario.jobs()) {
            for (int i = 0; i < jobClass.initial(); i++) {
                loop.after(random.nextDouble() * jobClass.rampSeconds(), () -> submit(jobClass));
            }
            if (jobClass.perMinute() > 0) {
                submitAtRate(jobClass, loop.now() + interval(jobClass));
            }
        }
    }

    /** Stops submissions, polls, probes and cancellations. */
    void stop() {
        stopped = true;
    }

    private double interval(JobClass jobClass) {
        return -Math.log(1 - random.nextDouble()) * 60 / jobClass.perMinute();
    }

    /**
     * Submits jobs at the rate of their class. The rate is kept when timers are delayed: all jobs
     * that are due are submitted together.
     */
    private void submitAtRate(JobClass jobClass, double firstAt) {
        double nextAt = firstAt;
        while (!stopped && nextAt <= loop.now()) {
            submit(jobClass);
            nextAt += interval(jobClass);
        }
        if (!stopped) {
            double at = nextAt;
            loop.after(at - loop.now(), () -> submitAtRate(jobClass, at));
        }
    }

    private double randomised(double mean) {
        return mean * (0.5 + random.nextDouble());
    }

    private void submit(JobClass jobClass) {
        Submission spec = newSubmission(jobClass);
        double runSeconds =
                spec.isService() ? Double.POSITIVE_INFINITY : randomised(jobClass.runSeconds());
        jobs.upload(new EmulatedJob(spec, runSeconds));
        new UserJob(spec, jobClass.lifeSeconds()).submit();
    }

    /** Returns a new job id. */
    String nextId() {
        return String.format("run-%06d", ++lastNumber);
    }

    /** Submits a service that runs until it is cancelled. */
    void submitService(Submission spec) {
        jobs.upload(new EmulatedJob(spec, Double.POSITIVE_INFINITY));
        UserJob service = new UserJob(spec, Double.POSITIVE_INFINITY);
        services.put(spec.id(), service);
        service.submit();
    }

    /** Cancels a service that {@link #submitService} submitted. */
    void cancelService(String id) {
        onCancellation.accept(id);
        services.remove(id).cancel();
    }

    /** Sets a listener that {@link #cancelService} calls before it cancels a service. */
    void onCancellation(Consumer<String> listener) {
        onCancellation = listener;
    }

    private Submission newSubmission(JobClass jobClass) {
        int team =
                jobClass.team() < 0 ? random.nextInt(scenario.teams().number()) : jobClass.team();
        int tasks = random.nextInt(jobClass.minTasks(), jobClass.maxTasks() + 1);
        return new Submission(
                nextId(),
                jobClass.name(),
                teamName(team),
                jobClass.kind(),
                jobClass.priority(),
                tasks,
                jobClass.cpus(),
                jobClass.gpus(),
                jobClass.memoryGb(),
                jobClass.name() + "-image-" + random.nextInt(jobClass.images()),
                jobClass.imageGb(),
                null,
                null,
                false,
                false,
                false,
                jobClass.runSeconds(),
                jobClass.checkpointSeconds(),
                jobClass.saveSeconds(),
                null,
                List.of());
    }

    static String teamName(int number) {
        return String.format("team-%03d", number);
    }

    /** When a job was accepted; null if it is unknown or its user has seen its final phase. */
    Double acceptedAt(String job) {
        return acceptedAt.get(job);
    }

    /** Number of accepted jobs whose users have not seen a final phase. */
    int unfinished() {
        return acceptedAt.size();
    }

    /** Number of jobs that were accepted so far. */
    long accepted() {
        return acceptedCount;
    }

    /** Number of submissions abandoned because no controller accepted them in time. */
    long abandoned() {
        return abandoned;
    }

    private void send(
            String method, String path, byte[] body, double timeoutSeconds, Consumer<Reply> done) {
        String address = controllers.get(pickController());
        Request request = new Request(address, method, path, body, timeoutSeconds);
        clients.get(random.nextInt(clients.size())).send(request, done);
    }

    private int pickController() {
        List<Integer> candidates = new ArrayList<>();
        for (int i = 0; i < healthy.length; i++) {
            if (healthy[i]) {
                candidates.add(i);
            }
        }
        return candidates.isEmpty()
                ? random.nextInt(healthy.length)
                : candidates.get(random.nextInt(candidates.size()));
    }
}
