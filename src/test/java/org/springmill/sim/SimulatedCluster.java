package org.springmill.sim;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import org.springmill.protocol.OperatorSettings;
import org.springmill.protocol.Settings;
import org.springmill.transport.HttpClient.Reply;
import org.springmill.transport.HttpClient.Request;

/**
 * Three controllers with simulated networks, key-value store, cloud, workers and users under one
 * virtual clock. Violations of the invariants are recorded as they happen.
 */
public final class SimulatedCluster {
    private static final double IMAGE_FETCH_SECONDS = 1;
    private static final ObjectMapper JSON = new ObjectMapper();

    private final VirtualClock clock = new VirtualClock();
    private final SimKeyValueStore store =
            new SimKeyValueStore(clock, SimSettings.VALUE_BYTES, SimSettings.WRITES_PER_COMMIT);
    private final SimCloud cloud = new SimCloud(this);
    private final SimNetwork network = new SimNetwork(this);
    private final SimController[] controllers = new SimController[SimSettings.CONTROLLERS];
    private final SimPeerNetwork peerNetwork =
            new SimPeerNetwork(clock, name -> controllers[SimSettings.controllerNumber(name)]);
    private final InvariantChecker invariants =
            new InvariantChecker(clock, cloud, SimSettings.of(0, SimSettings.STORE_LIMITS));
    private final SimUsers users;
    private final Map<String, Double> runSeconds = new HashMap<>();
    private final Map<String, Integer> starts = new HashMap<>();
    private final Set<String> brokenJobs = new HashSet<>();
    private final SimProgress progress = new SimProgress(this);
    private double imageFetchSeconds = IMAGE_FETCH_SECONDS;
    private SimOptions options;
    private int incarnations;

    public SimulatedCluster() {
        this(1);
    }

    /**
     * @param seed of all random decisions
     */
    public SimulatedCluster(long seed) {
        this(seed, OptionalDouble.empty());
    }

    /**
     * @param seed of all random decisions
     * @param historyRetentionSeconds history retention of all controllers; empty if records are
     *     never archived
     */
    public SimulatedCluster(long seed, OptionalDouble historyRetentionSeconds) {
        this(SimOptions.DEFAULTS.withSeed(seed).withHistoryRetention(historyRetentionSeconds));
    }

    public SimulatedCluster(SimOptions options) {
        this.options = options;
        SplittableRandom random = new SplittableRandom(options.seed());
        network.random(random.split());
        store.random(random.split());
        users = new SimUsers(clock, network, invariants, random);
        store.start();
        for (int i = 0; i < SimSettings.CONTROLLERS; i++) {
            controllers[i] = newController(i);
        }
        invariants.checkPeriodically();
    }

    private SimController newController(int number) {
        Settings settings = SimSettings.of(number, options.storeLimits(), options.operator());
        return new SimController(
                number, settings, ++incarnations, options.heapBytes(), clock, network, peerNetwork);
    }

    /**
     * Sets the history retention of controllers that are started from now on; empty if they never
     * archive records.
     */
    public void setHistoryRetention(OptionalDouble seconds) {
        options = options.withHistoryRetention(seconds);
    }

    /** Sets the maximum heap of controllers that are started from now on. */
    public void setHeapBytes(double bytes) {
        options = options.withHeapBytes(bytes);
    }

    /**
     * Sets the limits of the key-value store in the settings of controllers that are started from
     * now on.
     */
    public void setStoreLimits(Settings.StoreLimits limits) {
        options = options.withStoreLimits(limits);
    }

    /** The clock of the whole cluster. */
    public VirtualClock clock() {
        return clock;
    }

    /** The simulated key-value store. */
    public SimKeyValueStore keyValueStore() {
        return store;
    }

    /** The simulated cloud. */
    public SimCloud cloud() {
        return cloud;
    }

    /** The simulated network, whose failures a test sets. */
    public SimNetwork network() {
        return network;
    }

    InvariantChecker invariants() {
        return invariants;
    }

    /** Adds machines that boot in 0.5 s. */
    public SimulatedCluster machines(String type, String zone, int machineCount) {
        for (int i = 0; i < machineCount; i++) {
            cloud.add(type, zone, false, 0.5);
        }
        return this;
    }

    /** Adds one machine that boots in {@code bootSeconds}. */
    public SimWorker addMachine(String type, String zone, double bootSeconds) {
        return cloud.add(type, zone, false, bootSeconds);
    }

    /** Advances the virtual time by {@code seconds}. */
    public SimulatedCluster run(double seconds) {
        clock.run(seconds);
        return this;
    }

    /** Ends a controller's process without a shutdown, as a crash does. */
    public void kill(int controller) {
        if (controllers[controller] != null) {
            controllers[controller].stop();
            controllers[controller] = null;
        }
    }

    /** Whether a controller's process runs. */
    public boolean isUp(int controller) {
        return controllers[controller] != null;
    }

    /** The number of controllers whose processes run. */
    public int controllersUp() {
        int up = 0;
        for (SimController controller : controllers) {
            up += controller == null ? 0 : 1;
        }
        return up;
    }

    /** The machine at an address; empty if there is none now. */
    public Optional<SimWorker> machineAt(String address) {
        return Optional.ofNullable(cloud.machineAt(address));
    }

    /** The machines that exist now, in the order in which they were added. */
    public List<SimWorker> machines() {
        return List.copyOf(cloud.machines().values());
    }

    /** Starts a new process of a controller. */
    public void restart(int controller) {
        kill(controller);
        controllers[controller] = newController(controller);
    }

    /** Pauses a controller's process for {@code seconds}; its clock continues. */
    public void pauseProcess(int controller, double seconds) {
        controllers[controller].pause(seconds);
    }

    /** The number of the controller that the key-value store records as leader, or -1. */
    public int leader() {
        JsonNode record = store.value("leader");
        return record == null ? -1 : SimSettings.controllerNumber(record.path("node").asText());
    }

    /**
     * Partitions a controller from the key-value store and the other controllers, but not from
     * workers and users.
     */
    public void isolate(int controller) {
        partitionPeers(controller, true);
        network.partitionFromStore(SimSettings.controllerName(controller));
    }

    /** Drops all messages between a controller and the others, or delivers them again. */
    public void partitionPeers(int controller, boolean cut) {
        peerNetwork.isolate(SimSettings.controllerName(controller), cut);
    }

    /** From now on a packet filter refuses all connections between controllers. */
    public void filterPeers() {
        peerNetwork.filter();
    }

    /** Holds messages between controllers until they are released. */
    public void holdPeerMessages() {
        peerNetwork.hold();
    }

    /** Delivers the held messages to the processes that have the receivers' names now. */
    public void releasePeerMessages() {
        peerNetwork.release();
    }

    /**
     * Ends all failures of the networks, the key-value store and the cloud's API; a test may start
     * others later.
     */
    public void heal() {
        network.endFailures();
        store.endFailures();
        peerNetwork.heal();
        cloud.setDown(false);
    }

    /**
     * Ends all failures for good. From now on the invariants require that jobs for which there is
     * capacity run and that polls are answered.
     */
    public SimulatedCluster endFailures() {
        heal();
        invariants.failuresEnded();
        return this;
    }

    /** Sets how long machines take to fetch an image from now on. */
    public void setImageFetchSeconds(double seconds) {
        imageFetchSeconds = seconds;
    }

    double imageFetchSeconds() {
        return imageFetchSeconds;
    }

    /** Sets how long a task runs, or all tasks of a job if {@code task} is the job's id. */
    public void setRunSeconds(String task, double seconds) {
        runSeconds.put(task, seconds);
    }

    /** Makes every task of a job fail on all machines from now on, or ends that. */
    public void setBroken(String job, boolean broken) {
        if (broken) {
            brokenJobs.add(job);
        } else {
            brokenJobs.remove(job);
        }
    }

    /** The work that tasks have saved and lost. */
    public SimProgress progress() {
        return progress;
    }

    /** The submission of a task's job; null if nobody submitted it. */
    JsonNode spec(String task) {
        JobHistory job = invariants.job(task);
        return job == null ? null : job.job();
    }

    /**
     * Sets the terms on which controllers that are started from now on recall loans; empty turns
     * recalls off for them.
     */
    public void setBorrowing(Optional<OperatorSettings.Borrowing> terms) {
        options = options.withBorrowing(terms);
    }

    boolean isBroken(String task) {
        return brokenJobs.contains(JobHistories.jobOf(task));
    }

    double runSeconds(String task) {
        double ofItsJob =
                runSeconds.getOrDefault(JobHistories.jobOf(task), Double.POSITIVE_INFINITY);
        return runSeconds.getOrDefault(task, ofItsJob);
    }

    /** Delivers a request to the process at its address. */
    void route(String from, Request request, Consumer<Reply> done) {
        if (request.address().equals(SimSettings.STORE_ADDRESS)) {
            store.handle(from, request, done);
        } else if (request.address().equals(SimSettings.CLOUD_ADDRESS)) {
            done.accept(cloud.handle(request));
        } else if (SimSettings.isController(request.address())) {
            SimController controller = controllers[SimSettings.controllerAt(request.address())];
            if (controller == null) {
                done.accept(Reply.NOT_SENT);
            } else {
                controller.handle(request, done);
            }
        } else {
            SimWorker worker = cloud.machineAt(request.address());
            if (worker != null && worker.reachable()) {
                done.accept(worker.executeCommands(request.body()));
            }
        }
    }

    /** Starts tasks on a machine that no leader has claimed. */
    public void startUnknownTasks(SimWorker machine, String job, int tasks) {
        machine.startDirectly(job, tasks);
    }

    /** Sends a user's request to a controller without waiting for the answer. */
    public void sendAsUser(
            int controller,
            String method,
            String path,
            String body,
            double timeoutSeconds,
            Consumer<Reply> done) {
        users.send(controller, method, path, body, timeoutSeconds, done);
    }

    /** Sends a user's request to a controller and waits for the answer. */
    public Reply ask(int controller, String method, String path, String body) {
        return users.ask(controller, method, path, body);
    }

    /** From now on users poll every unfinished job, every five seconds. */
    public SimulatedCluster startPolling() {
        users.startPolling();
        return this;
    }

    /**
     * Submits a job and returns the status of the answer.
     *
     * @param taskRunSeconds how long each of its tasks will run
     */
    public int submit(int controller, ObjectNode job, double taskRunSeconds) {
        runSeconds.put(job.path("nameId").asText(), taskRunSeconds);
        return ask(controller, "POST", "/submissions", job.toString()).status();
    }

    /**
     * Registers a job that a test has written to the key-value store directly, and its tasks that
     * are done.
     */
    public void registerStoredJob(ObjectNode job, int... done) {
        runSeconds.put(job.path("nameId").asText(), 1.0);
        invariants.addAcceptedJob(job, done);
    }

    /** The phase of a job, or the HTTP status if the request fails. */
    public String phase(int controller, String id) {
        return phaseOf(ask(controller, "GET", "/submissions/" + id, ""));
    }

    /** Cancels a job, and returns its phase or the HTTP status if the request fails. */
    public String cancel(int controller, String id) {
        return phaseOf(ask(controller, "POST", "/submissions/" + id + "/withdraw", ""));
    }

    private static String phaseOf(Reply reply) {
        return reply.ok()
                ? SimKeyValueStore.parse(reply.body()).path("phase").asText()
                : Integer.toString(reply.status());
    }

    /** A valid submission; tests overwrite the fields that they test. */
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

    void started(SimWorker machine, SimTask task) {
        starts.merge(task.id, 1, Integer::sum);
        invariants.started(machine, task);
    }

    void done(String task) {
        invariants.done(task);
    }

    /** The violations of invariants so far. */
    public List<String> violations() {
        return invariants.violationsFound();
    }

    /** Accepted jobs that are not over and have tasks that are neither done nor on a machine. */
    public List<String> jobsWithPendingTasks() {
        return invariants.jobsWithPendingTasks();
    }

    /**
     * Tasks that were started by a command that the machine executed after the user had been
     * answered that the job is cancelled.
     */
    public List<String> startsAfterCancel() {
        return invariants.startsAfterCancel();
    }

    /** How often a task was started. */
    public int starts(String task) {
        return starts.getOrDefault(task, 0);
    }

    /** How often tasks of a job were started. */
    public int startsOfJob(String job) {
        return starts.entrySet().stream()
                .filter(entry -> entry.getKey().startsWith(job + "/"))
                .mapToInt(Map.Entry::getValue)
                .sum();
    }

    /** The number of a job's tasks that run or save a checkpoint. */
    public int running(String job) {
        return (int)
                cloud.machines().values().stream()
                        .flatMap(machine -> machine.tasks().stream())
                        .filter(task -> task.onMachine() && task.id.startsWith(job + "/"))
                        .count();
    }

    /** A machine that runs a task; null if none does. */
    public SimWorker workerRunning(String task) {
        return cloud.machines().values().stream()
                .filter(machine -> machine.runs(task))
                .findFirst()
                .orElse(null);
    }
}
