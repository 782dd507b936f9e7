package org.springmill.sim;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import org.springmill.control.coordination.Controller;
import org.springmill.protocol.OperatorSettings;
import org.springmill.protocol.Settings;
import org.springmill.transport.HttpClient;
import org.springmill.transport.HttpClient.Reply;
import org.springmill.transport.HttpClient.Request;
import org.springmill.transport.HttpHandler;
import org.springmill.transport.Loop;
import org.springmill.transport.PeerLink;

/**
 * Controllers with everything around them under one virtual clock. Breaks of the invariants are
 * noted as they happen.
 */
public final class SimulatedCluster {
    static final int NODES = 3;
    static final double REPORT_S = 2;
    static final double LEASE_S = 14;
    static final double CANCEL_S = 44;
    static final double FETCH_S = 1;
    private static final double POLL_S = 5;
    private static final Settings.State LIMITS = new Settings.State(120, 20, 8192, 12);
    private static final ObjectMapper JSON = new ObjectMapper();

    private final VirtualClock clock = new VirtualClock();
    private final SimState state = new SimState(clock, 8192, 12);
    private final SimCloud cloud = new SimCloud(this);
    private final SimNetwork network = new SimNetwork(this);
    private final Node[] nodes = new Node[NODES];
    private final InvariantChecker invariants = new InvariantChecker(clock, cloud, settings(0));
    private final Map<String, Double> runTimes = new HashMap<>();
    private final Map<String, Integer> starts = new HashMap<>();
    private final Set<String> cutPeers = new HashSet<>();
    private final Map<String, Integer> connected = new HashMap<>();
    private final int[] unready = new int[NODES];
    private final List<Runnable> heldRecords = new ArrayList<>();
    private final SplittableRandom random;
    private boolean holdRecords;
    private double fetchS = FETCH_S;
    private Settings.State limits = LIMITS;
    private int incarnations;
    private boolean filtered;

    /** One controller's process. */
    private final class Node implements Loop, HttpClient, PeerLink {
        private final int index;
        private final Controller controller;
        private Listener listener;
        private boolean dead;

        Node(int index) {
            this.index = index;
            controller =
                    new Controller(
                            settings(index, limits),
                            this,
                            this,
                            this,
                            new SplittableRandom(++incarnations));
            controller.start();
        }

        @Override
        public double now() {
            return clock.now();
        }

        /** Off by as much as the settings allow, to either side. */
        @Override
        public double timeOfDay() {
            return clock.timeOfDay() + index - 1;
        }

        @Override
        public Timer after(double seconds, Runnable task) {
            return clock.after(
                    seconds,
                    () -> {
                        if (!dead) {
                            task.run();
                        }
                    });
        }

        @Override
        public void send(Request request, Consumer<Reply> done) {
            network.send(
                    "n-" + index,
                    request,
                    reply -> {
                        if (!dead) {
                            done.accept(reply);
                        }
                    });
        }

        @Override
        public void send(String node, byte[] record) {
            if (filtered) {
                clock.after(0.002, () -> listener.refused(node));
                return;
            }
            if (cutPeers.contains("n-" + index) || cutPeers.contains(node)) {
                return;
            }
            Runnable delivery =
                    () -> {
                        Node to = nodes[Integer.parseInt(node.substring(2))];
                        if (to == null) {
                            listener.refused(node);
                        } else if (to.listener != null) {
                            to.listener.received(record);
                        }
                    };
            if (holdRecords) {
                heldRecords.add(delivery);
            } else {
                clock.after(0.002, delivery);
            }
        }

        @Override
        public void onRecord(Listener taker) {
            listener = taker;
        }
    }

    public SimulatedCluster() {
        this(1);
    }

    /**
     * @param seed of what is left to chance
     */
    public SimulatedCluster(long seed) {
        random = new SplittableRandom(seed);
        network.random(random.split());
        state.random(random.split());
        state.tick();
        for (int i = 0; i < NODES; i++) {
            nodes[i] = new Node(i);
        }
        invariants.watch();
    }

    /** Settings of a controller that is started from now on; those that run keep theirs. */
    public void settings(Settings.State stateLimits) {
        limits = stateLimits;
    }

    static Settings settings(int index) {
        return settings(index, LIMITS);
    }

    private static Settings settings(int index, Settings.State limits) {
        Map<String, String> peers = new HashMap<>();
        for (int i = 0; i < NODES; i++) {
            if (i != index) {
                peers.put("n-" + i, "10.0.0." + i + ":8081");
            }
        }
        return new Settings(
                "n-" + index,
                "a",
                "10.0.0." + index + ":8080",
                "10.0.0." + index + ":8081",
                peers,
                "cloud:1",
                "state:1",
                List.of("a", "b"),
                1,
                List.of(
                        new Settings.Team("red", 0, 0, 8, 16),
                        new Settings.Team("blue", 0, 0, 8, 64)),
                List.of(),
                new Settings.Workers(REPORT_S, LEASE_S, CANCEL_S),
                limits,
                new Settings.Cloud(4, 3),
                new Settings.Limits(0.2, 176, 700),
                OperatorSettings.DEFAULTS);
    }

    public VirtualClock clock() {
        return clock;
    }

    public SimState state() {
        return state;
    }

    public SimCloud cloud() {
        return cloud;
    }

    public SimNetwork network() {
        return network;
    }

    String apiOf(int node) {
        return "10.0.0." + node + ":8080";
    }

    /** A controller loses the state service and the other controllers, not its workers or users. */
    public void isolate(int node) {
        cutPeers(node, true);
        network.cutFromState("n-" + node);
    }

    /** Adds machines that are up after a moment. */
    public SimulatedCluster machines(String type, String zone, int count) {
        for (int i = 0; i < count; i++) {
            cloud.add(type, zone, false, 0.5);
        }
        return this;
    }

    public SimulatedCluster run(double seconds) {
        clock.run(seconds);
        return this;
    }

    public void kill(int node) {
        if (nodes[node] != null) {
            nodes[node].dead = true;
            nodes[node] = null;
        }
    }

    public void restart(int node) {
        kill(node);
        nodes[node] = new Node(node);
    }

    public void cutPeers(int node, boolean cut) {
        if (cut) {
            cutPeers.add("n-" + node);
        } else {
            cutPeers.remove("n-" + node);
        }
    }

    /** From now on a packet filter refuses all connections between controllers. */
    public void filterPeers() {
        filtered = true;
    }

    /**
     * Keeps back what controllers say to each other, until it is delivered to whoever has the
     * address then.
     */
    public void holdRecords() {
        holdRecords = true;
    }

    public void releaseRecords() {
        holdRecords = false;
        heldRecords.forEach(Runnable::run);
        heldRecords.clear();
    }

    /** From now on machines take so long to fetch an image. */
    public void fetchesTake(double seconds) {
        fetchS = seconds;
    }

    double fetchS() {
        return fetchS;
    }

    /** Has one task of a job run for another time than the rest. */
    public void runsFor(String task, double seconds) {
        runTimes.put(task, seconds);
    }

    /** The node whose leadership is on record, or -1. */
    public int leader() {
        JsonNode record = state.value("leader");
        return record == null ? -1 : Integer.parseInt(record.path("node").asText().substring(2));
    }

    void route(String from, Request request, Consumer<Reply> done) {
        if (request.address().equals("state:1")) {
            state.handle(from, request, done);
        } else if (request.address().equals("cloud:1")) {
            done.accept(cloud.handle(request));
        } else if (request.address().startsWith("10.0.0.")) {
            Node node = nodes[request.address().charAt(7) - '0'];
            if (node == null) {
                done.accept(Reply.NOT_SENT);
            } else {
                node.controller.handle(new SimCall(request, done));
            }
        } else {
            for (SimWorker worker : cloud.machines().values()) {
                if (worker.address().equals(request.address()) && worker.reachable()) {
                    done.accept(worker.orders(request.body()));
                }
            }
        }
    }

    private record SimCall(Request request, Consumer<Reply> done) implements HttpHandler.Call {
        @Override
        public String method() {
            return request.method();
        }

        @Override
        public String path() {
            return request.path();
        }

        @Override
        public byte[] body() {
            return request.body();
        }

        @Override
        public void reply(int status, byte[] body, int retryAfterS) {
            done.accept(new Reply(status, body));
        }
    }

    /**
     * Asks a controller as a user would; the invariants take note of the answer when the user gets
     * it.
     */
    public void user(
            int node,
            String method,
            String path,
            String body,
            double timeoutS,
            Consumer<Reply> done) {
        Request request =
                new Request(apiOf(node), method, path, InvariantChecker.bytes(body), timeoutS);
        double sentAt = clock.now();
        invariants.asks(request);
        network.send(
                "user",
                request,
                reply -> {
                    invariants.told(request, sentAt, reply);
                    done.accept(reply);
                });
    }

    /** Asks a controller as a user would, and waits for the answer. */
    public Reply ask(int node, String method, String path, String body) {
        Reply[] answer = new Reply[1];
        user(node, method, path, body, 5, reply -> answer[0] = reply);
        for (int i = 0; i < 501 && answer[0] == null; i++) {
            clock.run(0.01);
        }
        return answer[0];
    }

    /**
     * Users ask about every unfinished job from now on, every five seconds. Each keeps to one
     * controller for as long as the balancer finds that one healthy, as an open connection does.
     */
    public SimulatedCluster polled() {
        invariants.polled();
        balance();
        poll();
        return this;
    }

    private void balance() {
        for (int i = 0; i < NODES; i++) {
            int node = i;
            network.send(
                    "balancer",
                    new Request(apiOf(node), "GET", "/ready", new byte[0], 1),
                    reply -> unready[node] = reply.ok() ? 0 : unready[node] + 1);
        }
        clock.after(1, this::balance);
    }

    private void poll() {
        for (String id : invariants.unfinished()) {
            int node = connected.getOrDefault(id, random.nextInt(NODES));
            // Two probes fail before the balancer takes note, and connections that are open get 5
            // s.
            while (unready[node] >= 7 && unready[0] + unready[1] + unready[2] < 7 * NODES) {
                node = random.nextInt(NODES);
            }
            connected.put(id, node);
            int to = node;
            clock.after(
                    random.nextDouble() * POLL_S,
                    () -> user(to, "GET", "/submissions/" + id, "", 2, reply -> {}));
        }
        clock.after(POLL_S, this::poll);
    }

    public int submit(int node, ObjectNode job, double runS) {
        runTimes.put(job.path("nameId").asText(), runS);
        return ask(node, "POST", "/submissions", job.toString()).status();
    }

    /**
     * Makes known a job that a test has put into the state service itself, and which tasks of it
     * are done.
     */
    public void assume(ObjectNode job, int... done) {
        runTimes.put(job.path("nameId").asText(), 1.0);
        invariants.assume(job, done);
    }

    public String phase(int node, String id) {
        return phaseOf(ask(node, "GET", "/submissions/" + id, ""));
    }

    public String withdraw(int node, String id) {
        return phaseOf(ask(node, "POST", "/submissions/" + id + "/withdraw", ""));
    }

    private static String phaseOf(Reply reply) {
        return reply.ok()
                ? SimState.parse(reply.body()).path("phase").asText()
                : Integer.toString(reply.status());
    }

    public static ObjectNode job(
            String id, String team, String shape, int tasks, double cpus, double gpus) {
        return JSON.createObjectNode()
                .put("nameId", id)
                .put("grist", "c")
                .put("crew", team)
                .put("shape", shape)
                .put("urgency", "normal")
                .put("sacks", tasks)
                .put("vcpus", cpus)
                .put("cards", gpus)
                .put("memGb", 1.0)
                .put("mould", "img-1")
                .put("pullGb", 1.0)
                .put("samePlace", false)
                .put("apart", false)
                .put("loaner", false)
                .put("expectS", 10.0)
                .put("stashEveryS", 0.0)
                .put("stashS", 0.0);
    }

    double runTime(String task) {
        String job = task.substring(0, task.indexOf('/'));
        return runTimes.getOrDefault(task, runTimes.getOrDefault(job, Double.POSITIVE_INFINITY));
    }

    void started(SimWorker on, SimWorker.Task task) {
        starts.merge(task.id, 1, Integer::sum);
        invariants.started(on, task);
    }

    void done(String task) {
        invariants.done(task);
    }

    /** All troubles are over: from now on work has to go on, and every question to be answered. */
    public SimulatedCluster calm() {
        network.calm();
        state.calm();
        cutPeers.clear();
        filtered = false;
        invariants.calm();
        return this;
    }

    /** What has broken a rule so far. */
    public List<String> broken() {
        return invariants.broken();
    }

    /** Accepted jobs that are not over and have tasks that are neither done nor on a machine. */
    public List<String> unserved() {
        return invariants.unserved();
    }

    /**
     * Tasks that a machine was told to start, and started, after their user was told that the job
     * is cancelled.
     */
    public List<String> startsAfterCancel() {
        return invariants.startsAfterCancel();
    }

    public int starts(String task) {
        return starts.getOrDefault(task, 0);
    }

    public int running(String job) {
        return (int)
                cloud.machines().values().stream()
                        .flatMap(m -> m.tasks().stream())
                        .filter(t -> t.onMachine() && t.id.startsWith(job + "/"))
                        .count();
    }

    public SimWorker holder(String task) {
        return cloud.machines().values().stream()
                .filter(m -> m.runs(task))
                .findFirst()
                .orElse(null);
    }
}
