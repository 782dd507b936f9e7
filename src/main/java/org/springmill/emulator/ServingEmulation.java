package org.springmill.emulator;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.springmill.emulator.EmulationResult.Serving;
import org.springmill.emulator.EmulationResult.ServingPoint;
import org.springmill.protocol.TaskId;
import org.springmill.transport.EventLoop;
import org.springmill.transport.HttpClient;

/** The part of an emulation that serves a model, while other work borrows unused capacity. */
final class ServingEmulation {
    private static final double CHECK_SECONDS = 0.05;

    private final EventLoop loop;
    private final Scenario.Serving serving;
    private final JobRegistry jobs;
    private final ServingUsers users;
    private final LoanSampler loans;
    private final LoanCounters counters;
    private final List<ServingPoint> timeline = new ArrayList<>();
    private double surgeStartedAt;
    private double secondsToCapacity = -1;
    private long answeredBefore;
    private long refusedBefore;

    ServingEmulation(
            EventLoop loop,
            HttpClient client,
            Scenario scenario,
            Scenario.Serving serving,
            EmulatedUsers users,
            JobRegistry jobs,
            Measurements measurements,
            List<String> controllers,
            SplittableRandom random) {
        this.loop = loop;
        this.serving = serving;
        this.jobs = jobs;
        this.users = new ServingUsers(loop, client, serving, users, measurements, random);
        loans = new LoanSampler(loop, scenario, jobs);
        counters = new LoanCounters(loop, client, controllers);
        users.onCancellation(loans::cancelled);
    }

    /** Starts to serve; called when the controllers are ready. */
    void start() {
        users.start();
        loans.start();
        counters.start();
        loop.after(serving.surgeAtSeconds(), this::startSurge);
    }

    void stop() {
        users.stop();
    }

    void startMeasuring() {
        loans.startMeasuring();
    }

    private void startSurge() {
        surgeStartedAt = loop.now();
        awaitCapacity();
    }

    private void awaitCapacity() {
        if (users.capacity() >= users.demand()) {
            secondsToCapacity = loop.now() - surgeStartedAt;
        } else if (loop.now() - surgeStartedAt < serving.surgeForSeconds()) {
            loop.after(CHECK_SECONDS, this::awaitCapacity);
        }
    }

    void started(TaskId task, String address) {
        loans.started(task);
        users.started(task, address);
    }

    void ended(TaskId task) {
        loans.ended(task);
        users.ended(task);
    }

    void stopCommanded(TaskId task) {
        loans.stopCommanded(task);
    }

    /** Adds a point to the timeline. */
    void sample(int second) {
        timeline.add(
                new ServingPoint(
                        second,
                        users.demand(),
                        users.capacity(),
                        loans.batchGpus(),
                        loans.gpusByTeam(),
                        users.answered() - answeredBefore,
                        users.refused() - refusedBefore));
        answeredBefore = users.answered();
        refusedBefore = users.refused();
    }

    Serving result() {
        TaskProgress progress = jobs.progress();
        return new Serving(
                secondsToCapacity,
                users.answered(),
                users.refused(),
                users.unanswered(),
                loans.samples(),
                loans.below(),
                loans.above(),
                loans.batchTaskSeconds(),
                progress.lostSeconds(),
                progress.stopped(),
                progress.resumed(),
                progress.startedAnew(),
                loans.idleGpuSeconds(),
                counters.sums(),
                timeline);
    }
}
