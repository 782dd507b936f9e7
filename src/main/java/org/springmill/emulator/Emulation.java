package org.springmill.emulator;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.springmill.emulator.ControllerSettings.Node;
import org.springmill.emulator.EmulatedWorker.Environment;
import org.springmill.emulator.EmulationResult.Point;
import org.springmill.emulator.EmulationResult.Size;
import org.springmill.emulator.EmulationResult.StoreUse;
import org.springmill.emulator.EmulationResult.Work;
import org.springmill.emulator.Measurements.Latency;
import org.springmill.emulator.Measurements.Message;
import org.springmill.emulator.Measurements.Rates;
import org.springmill.protocol.TaskId;
import org.springmill.transport.EventLoop;
import org.springmill.transport.HttpClient;
import org.springmill.transport.Transport;

/**
 * One run of a scenario in real time. The cloud, the key-value store, the users and the rule
 * checker share one event loop; the workers run on others.
 */
public final class Emulation implements AutoCloseable {
    private static final int MAX_SOCKETS = 20_000;
    private static final int USER_SOCKETS = 64;

    /** Requests to models need more sockets, since many of them are pending at the same time. */
    private static final int MODEL_SOCKETS = 1024;

    private static final double READY_WITHIN_SECONDS = 60;
    private static final double NANOS_PER_SECOND = 1e9;
    private static final int PROGRESS_EVERY = 5;

    /** Delay before the transport is closed, so that the workers' loops are closed first. */
    private static final double CLOSE_SECONDS = 0.5;

    private static final String LOOPBACK = "127.";
    private static final String CONTROLLERS_NET = ".0.";
    private static final String SERVICES_HOST = ".1.1:";

    private final Scenario scenario;
    private final String host;
    private final Consumer<String> progress;
    private final Transport transport;
    private final EventLoop loop;
    private final Measurements measurements = new Measurements();
    private final JobRegistry jobs = new JobRegistry();
    private final RuleChecker rules;
    private final EmulatedKeyValueStore store;
    private final EmulatedKeyValueStoreServer storeServer;
    private final EmulatedFleet fleet;
    private final EmulatedCloud cloud;
    private final EmulatedUsers users;
    private final ControllerGroup controllers;
    private final FaultInjector faults;

    /** Empty unless the scenario serves a model. */
    private final Optional<ServingEmulation> serving;

    private final List<Point> timeline = new ArrayList<>();
    private final CompletableFuture<EmulationResult> result = new CompletableFuture<>();
    private double readyAt;
    private double measuredSince;
    private double emulatorSecondsBefore;
    private long servedBefore;
    private long writtenBefore;
    private long startsBefore;
    private long acceptedBefore;
    private long endsBefore;

    /**
     * Creates all parts of an emulation; {@link #run} starts them.
     *
     * @param network second octet of the loopback addresses of controllers and services; workers
     *     use the next number
     * @param folder where the controllers' settings and logs are written
     * @param progress receives a progress line every few seconds
     */
    public Emulation(Scenario scenario, int network, Path folder, Consumer<String> progress)
            throws IOException {
        this.scenario = scenario;
        host = LOOPBACK + network;
        this.progress = progress;
        SplittableRandom random = new SplittableRandom(scenario.seed());
        transport = new Transport(MAX_SOCKETS, Set.of());
        loop = transport.loop();
        rules = new RuleChecker(loop, scenario, jobs);
        int valueBytes = (int) (scenario.storeLimits().valueKb() * 1024);
        store =
                new EmulatedKeyValueStore(
                        loop, valueBytes, scenario.storeLimits().writesPerCommit());
        storeServer =
                new EmulatedKeyValueStoreServer(loop, store, scenario.storeLimits(), measurements);
        List<Node> nodes = nodes();
        List<String> addresses = nodes.stream().map(Node::api).toList();
        fleet =
                new EmulatedFleet(
                        environment(nodes, addresses),
                        random.split(),
                        network + 1,
                        result::completeExceptionally);
        cloud = new EmulatedCloud(loop, scenario, fleet);
        List<HttpClient> clients = new ArrayList<>();
        for (int i = 0; i < scenario.users().clients(); i++) {
            clients.add(transport.newClient(USER_SOCKETS));
        }
        users =
                new EmulatedUsers(
                        loop,
                        clients,
                        addresses,
                        scenario,
                        jobs,
                        rules,
                        measurements,
                        random.split());
        serving =
                scenario.serving()
                        .map(
                                serving ->
                                        new ServingEmulation(
                                                loop,
                                                transport.newClient(MODEL_SOCKETS),
                                                scenario,
                                                serving,
                                                users,
                                                jobs,
                                                measurements,
                                                addresses,
                                                random.split()));
        String services = host + SERVICES_HOST;
        int statePort = transport.serve(services + 0, storeServer);
        int cloudPort = transport.serve(services + 0, this::serveCloud);
        controllers =
                new ControllerGroup(
                        loop,
                        transport.newClient(USER_SOCKETS),
                        scenario,
                        nodes,
                        services + cloudPort,
                        services + statePort,
                        folder);
        faults = new FaultInjector(loop, scenario, fleet, cloud, store, controllers, rules);
    }

    private List<Node> nodes() throws IOException {
        List<Node> nodes = new ArrayList<>();
        List<String> zones = scenario.zoneNames();
        for (int i = 0; i < scenario.controllers().number(); i++) {
            String address = host + CONTROLLERS_NET + (i + 1) + ":";
            nodes.add(
                    new Node(
                            "controller-" + i,
                            zones.get(i % zones.size()),
                            address + FreePorts.next(),
                            address + FreePorts.next()));
        }
        return nodes;
    }

    private Environment environment(List<Node> nodes, List<String> addresses) {
        Map<String, Integer> numbers = new HashMap<>();
        for (int i = 0; i < nodes.size(); i++) {
            numbers.put(nodes.get(i).name(), i);
        }
        return new Environment(
                scenario, addresses, numbers, jobs, measurements, new ObserverOnLoop());
    }

    /** Forwards events of workers to the event loop of the rule checker. */
    private final class ObserverOnLoop implements EmulatedWorker.Observer {
        @Override
        public void startCommanded(TaskId task) {
            loop.after(
                    0,
                    () -> {
                        Double acceptedAt = users.acceptedAt(task.job());
                        if (acceptedAt != null) {
                            measurements.latency(Latency.CLAIM, loop.now() - acceptedAt);
                        }
                    });
        }

        @Override
        public void started(TaskId task, String machine, String address) {
            loop.after(
                    0,
                    () -> {
                        rules.started(task, machine);
                        serving.ifPresent(part -> part.started(task, address));
                    });
        }

        @Override
        public void ended(TaskId task, String machine, boolean done) {
            loop.after(
                    0,
                    () -> {
                        rules.ended(task, machine, done);
                        serving.ifPresent(part -> part.ended(task));
                    });
        }

        @Override
        public void stopCommanded(TaskId task) {
            loop.after(0, () -> serving.ifPresent(part -> part.stopCommanded(task)));
        }

        @Override
        public void cleared(String machine) {
            loop.after(
                    0,
                    () -> {
                        Set<TaskId> lostTasks = rules.cleared(machine);
                        serving.ifPresent(part -> lostTasks.forEach(part::ended));
                    });
        }
    }

    private void serveCloud(org.springmill.transport.HttpHandler.Call call) {
        measurements.message(Message.CLOUD, call.body().length, 0);
        cloud.handle(call);
    }

    /** Runs the scenario to its end and returns the measurements. */
    public EmulationResult run() throws Exception {
        loop.after(0, this::begin);
        return result.get();
    }

    private void begin() {
        try {
            store.start();
            rules.start();
            cloud.rentInitial();
            controllers.start();
            users.probe();
            double startedAt = loop.now();
            awaitReady(startedAt);
        } catch (RuntimeException e) {
            result.completeExceptionally(e);
        }
    }

    private void awaitReady(double startedAt) {
        if (users.healthyControllers() == scenario.controllers().number()) {
            ready();
        } else if (loop.now() - startedAt > READY_WITHIN_SECONDS) {
            result.completeExceptionally(
                    new IOException(
                            users.healthyControllers()
                                    + " of "
                                    + scenario.controllers().number()
                                    + " controllers were ready within "
                                    + READY_WITHIN_SECONDS
                                    + " s; see their logs"));
        } else {
            loop.after(0.2, () -> awaitReady(startedAt));
        }
    }

    private void ready() {
        readyAt = loop.now();
        progress.accept(users.healthyControllers() + " controllers are ready");
        users.start();
        serving.ifPresent(ServingEmulation::start);
        faults.start();
        loop.after(scenario.warmUpSeconds(), this::startMeasuring);
        loop.after(scenario.durationSeconds(), this::finish);
        tick();
    }

    private void startMeasuring() {
        measuredSince = loop.now();
        emulatorSecondsBefore = emulatorSeconds();
        servedBefore = storeServer.served();
        writtenBefore = storeServer.written();
        controllers.startMeasuring();
        serving.ifPresent(ServingEmulation::startMeasuring);
        measurements.start();
    }

    private void tick() {
        if (result.isDone()) {
            return;
        }
        faults.update();
        int second = (int) Math.round(loop.now() - readyAt);
        Point point =
                new Point(
                        second,
                        rules.running(),
                        rules.starts() - startsBefore,
                        rules.ends() - endsBefore,
                        users.unfinished(),
                        users.healthyControllers(),
                        users.accepted() - acceptedBefore);
        acceptedBefore = users.accepted();
        startsBefore = rules.starts();
        endsBefore = rules.ends();
        timeline.add(point);
        serving.ifPresent(part -> part.sample(second));
        if (second % PROGRESS_EVERY == 0) {
            progress.accept(describe(point));
        }
        loop.after(1, this::tick);
    }

    private String describe(Point point) {
        return String.format(
                "%4d s: %6d tasks run, %4d starts/s, %5d unfinished jobs, %d ready,"
                        + " %d rules broken",
                point.second(),
                point.running(),
                point.starts(),
                point.unfinishedJobs(),
                point.ready(),
                rules.violationCount());
    }

    private void finish() {
        rules.finished();
        double seconds = loop.now() - measuredSince;
        Map<String, Rates> rates = measurements.rates(seconds);
        result.complete(
                new EmulationResult(
                        scenario.name(),
                        scenario.seed(),
                        seconds,
                        new Size(
                                scenario.machineCount(),
                                scenario.zones(),
                                scenario.regions(),
                                scenario.teams().number(),
                                scenario.controllers().number()),
                        scenario.controllers().run(),
                        measurements.percentiles(),
                        rates,
                        measurements.outcomes(),
                        measurements.refusals(),
                        controllers.resourceUse(seconds),
                        (emulatorSeconds() - emulatorSecondsBefore) / seconds,
                        workerBytesPerSecond(rates),
                        new StoreUse(
                                (storeServer.served() - servedBefore) / seconds,
                                (storeServer.written() - writtenBefore) / seconds,
                                storeServer.refusedForRate(),
                                store.rejectedForSize(),
                                store.keyCount()),
                        work(),
                        faults.records(),
                        timeline,
                        serving.map(ServingEmulation::result).orElse(null),
                        rules.violationCount(),
                        rules.violations()));
    }

    private Work work() {
        return new Work(
                rules.starts(),
                rules.repeatedStarts(),
                timeline.stream().mapToDouble(Point::starts).max().orElse(0),
                rules.ends(),
                rules.lost(),
                timeline.stream().mapToInt(Point::running).max().orElse(0),
                rules.running(),
                users.unfinished(),
                users.abandoned());
    }

    private double workerBytesPerSecond(Map<String, Rates> rates) {
        double bytes = 0;
        for (Message kind : List.of(Message.REPORT, Message.COMMANDS)) {
            Rates rate = rates.get(kind.name().toLowerCase(java.util.Locale.ROOT));
            bytes += rate == null ? 0 : rate.requestBytes() + rate.answerBytes();
        }
        return bytes / Math.max(1, scenario.machineCount());
    }

    private static double emulatorSeconds() {
        return ProcessHandle.current()
                .info()
                .totalCpuDuration()
                .map(used -> used.toNanos() / NANOS_PER_SECOND)
                .orElse(0.0);
    }

    /** Stops everything that was started. */
    @Override
    public void close() {
        users.stop();
        serving.ifPresent(ServingEmulation::stop);
        controllers.close();
        loop.after(0, fleet::close);
        loop.after(CLOSE_SECONDS, transport::close);
    }
}
