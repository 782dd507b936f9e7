package org.springmill.sim;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.springmill.transport.HttpClient.Reply;
import org.springmill.transport.HttpClient.Request;

/**
 * A simulated worker machine, written from the published protocol and not with the controller's
 * message classes.
 */
public final class SimWorker {
    private static final ObjectMapper JSON = new ObjectMapper();

    private final SimulatedCluster cluster;
    private final String name;
    private final String address;
    private final String type;
    private final String zone;
    private final boolean spot;
    private final Map<String, SimTask> tasks = new LinkedHashMap<>();
    private long epoch = 1;
    private long sequence;
    private long token;
    private double renewedAt;
    private Double noticeSeconds;
    private boolean up;
    private boolean terminated;
    private boolean hung;
    private int controller;
    private boolean heartbeatInFlight;
    private boolean failingAllTasks;
    private boolean ignoringHalts;

    /**
     * The number of processes that have begun on this machine; replies to earlier ones are lost.
     */
    private int processes = 1;

    private double firstReplyAt = Double.POSITIVE_INFINITY;

    SimWorker(
            SimulatedCluster cluster,
            String name,
            String address,
            String type,
            String zone,
            boolean spot) {
        this.cluster = cluster;
        this.name = name;
        this.address = address;
        this.type = type;
        this.zone = zone;
        this.spot = spot;
    }

    /** The name by which cloud and controllers know this machine. */
    public String name() {
        return name;
    }

    /** The address at which this worker takes commands. */
    public String address() {
        return address;
    }

    String type() {
        return type;
    }

    /** The zone that this machine is in. */
    public String zone() {
        return zone;
    }

    boolean spot() {
        return spot;
    }

    /** Whether this machine has booted and is not terminated. */
    public boolean up() {
        return up;
    }

    public long epoch() {
        return epoch;
    }

    /**
     * After the lease has expired no task counts as on the machine, even if the machine hangs and
     * has not detected the expiry yet.
     */
    private boolean isLeaseExpired() {
        return cluster.clock().now() - renewedAt > SimSettings.LEASE_SECONDS;
    }

    /** The number of tasks that run here or save a checkpoint. */
    public int running() {
        return isLeaseExpired()
                ? 0
                : (int) tasks.values().stream().filter(SimTask::onMachine).count();
    }

    /** Whether a task runs here or saves a checkpoint. */
    public boolean runs(String task) {
        return !isLeaseExpired()
                && tasks.values().stream().anyMatch(t -> t.id.equals(task) && t.onMachine());
    }

    /** Whether a task is on this machine and not over; it may still be fetching its image. */
    public boolean hasTask(String task) {
        return !isLeaseExpired()
                && tasks.values().stream().anyMatch(t -> t.id.equals(task) && !t.over());
    }

    /** Whether the cloud has given no preemption notice for this machine. */
    boolean hasNoPreemptionNotice() {
        return noticeSeconds == null;
    }

    /**
     * Whether this machine is reachable with a valid lease, has no preemption notice and is not set
     * to fail its tasks.
     */
    boolean isHealthy() {
        return reachable() && !failingAllTasks && noticeSeconds == null && !isLeaseExpired();
    }

    /**
     * Gives a preemption notice of {@code seconds}. The worker reports it; {@link SimCloud#reclaim}
     * reclaims the machine.
     */
    public void givePreemptionNotice(double seconds) {
        noticeSeconds = seconds;
        sendHeartbeat();
    }

    /** From now on every task here ends with an error; new tasks do so 0.1 s after their start. */
    public void failAllTasks() {
        failingAllTasks = true;
    }

    /** Suspends all activity of this machine, or resumes it. */
    public void setHung(boolean hangs) {
        hung = hangs;
    }

    /** Makes the worker ignore halt commands, or execute them again. */
    public void setIgnoringHalts(boolean ignoring) {
        ignoringHalts = ignoring;
    }

    /** What a new process knows of the one before it. */
    public enum Memory {
        /** It begins as on a machine that has just booted. */
        NOTHING,
        /** The highest token that was seen. */
        TOKEN,
        /** The session, after which it begins the next one. */
        SESSION
    }

    /**
     * Replaces the worker's process by another one at once, without tasks, and with its first
     * message to come.
     *
     * @param firstHeartbeatSeconds how long after its beginning it sends its first heartbeat
     */
    public void restartProcess(Memory memory, double firstHeartbeatSeconds) {
        if (!up || terminated) {
            return;
        }
        killTasks();
        processes++;
        epoch = memory == Memory.SESSION ? epoch + 1 : 1;
        sequence = 0;
        token = memory == Memory.TOKEN ? token : 0;
        renewedAt = cluster.clock().now();
        firstReplyAt = Double.POSITIVE_INFINITY;
        heartbeatInFlight = true;
        int process = processes;
        cluster.clock()
                .after(
                        firstHeartbeatSeconds,
                        () -> {
                            if (process == processes) {
                                heartbeatInFlight = false;
                                sendHeartbeat();
                            }
                        });
    }

    /** When a controller first replied to the present process; infinite before. */
    public double firstReplyAt() {
        return firstReplyAt;
    }

    /** Whether the present process has obeyed no command and taken no answer yet. */
    public boolean hasSeenNoToken() {
        return token == 0;
    }

    void boot() {
        if (!terminated) {
            up = true;
            renewedAt = cluster.clock().now();
            sendPeriodicHeartbeats();
        }
    }

    void destroy() {
        killTasks();
        terminated = true;
        up = false;
    }

    /** Ends all tasks without a save; their work since their last checkpoints is lost. */
    private void killTasks() {
        tasks.values().stream()
                .filter(SimTask::onMachine)
                .forEach(task -> cluster.progress().killed(task, cluster.clock().now()));
        tasks.clear();
    }

    private void sendPeriodicHeartbeats() {
        if (terminated) {
            return;
        }
        checkLease();
        sendHeartbeat();
        cluster.clock().after(SimSettings.HEARTBEAT_SECONDS, this::sendPeriodicHeartbeats);
    }

    private void checkLease() {
        if (!hung && isLeaseExpired()) {
            killTasks();
            epoch++;
            renewedAt = cluster.clock().now();
        }
    }

    ObjectNode heartbeatBody() {
        ObjectNode body =
                JSON.createObjectNode()
                        .put("stone", name)
                        .put("addr", address)
                        .put("frame", type)
                        .put("yard", zone)
                        .put("loaner", spot)
                        .put("shift", epoch)
                        .put("tally", ++sequence)
                        .put("baton", token);
        if (noticeSeconds != null) {
            body.put("warningS", noticeSeconds);
        }
        ArrayNode sacks = body.putArray("sacks");
        for (SimTask task : tasks.values()) {
            ObjectNode sack =
                    sacks.addObject()
                            .put("sack", task.id)
                            .put("try", task.attempt)
                            .put("phase", task.phase);
            if (task.cause != null) {
                sack.put("cause", task.cause);
            }
        }
        return body;
    }

    private void sendHeartbeat() {
        if (heartbeatInFlight || terminated || hung || !up) {
            return;
        }
        heartbeatInFlight = true;
        double sentAt = cluster.clock().now();
        long sentEpoch = epoch;
        byte[] body = heartbeatBody().toString().getBytes(java.nio.charset.StandardCharsets.UTF_8);
        int to = controller;
        int process = processes;
        cluster.network()
                .send(
                        name,
                        new Request(SimSettings.apiAddress(to), "POST", "/v1/report", body, 4),
                        reply -> {
                            if (process != processes) {
                                return;
                            }
                            heartbeatInFlight = false;
                            if (reply.status() > 0) {
                                firstReplyAt = Math.min(firstReplyAt, cluster.clock().now());
                            }
                            if (terminated || hung) {
                                return;
                            }
                            checkLease();
                            if (reply.status() == 200) {
                                JsonNode answer = SimKeyValueStore.parse(reply.body());
                                boolean valid =
                                        answer.has("baton")
                                                && answer.path("baton").asLong() >= token
                                                && epoch == sentEpoch;
                                if (valid) {
                                    token = answer.path("baton").asLong();
                                    renewedAt = sentAt;
                                    execute(answer.path("orders"));
                                }
                            } else if (reply.status() == 421
                                    && SimKeyValueStore.parse(reply.body()).has("foreman")) {
                                controller =
                                        SimSettings.controllerNumber(
                                                SimKeyValueStore.parse(reply.body())
                                                        .path("foreman")
                                                        .asText());
                                cluster.clock().after(0.1, this::sendHeartbeat);
                            } else {
                                controller = (to + 1) % SimSettings.CONTROLLERS;
                                cluster.clock().after(1, this::sendHeartbeat);
                            }
                        });
    }

    Reply executeCommands(byte[] bytes) {
        checkLease();
        JsonNode body = SimKeyValueStore.parse(bytes);
        if (!body.has("baton") || !body.has("shift")) {
            return new Reply(400, new byte[0]);
        }
        boolean refused =
                body.path("baton").asLong() < token || body.path("shift").asLong() != epoch;
        if (!refused) {
            token = body.path("baton").asLong();
            execute(body.path("orders"));
        }
        return SimKeyValueStore.reply(refused ? 409 : 200, heartbeatBody());
    }

    /** Starts tasks as by commands with the token and epoch that are valid now. */
    void startDirectly(String job, int numberOfTasks) {
        ArrayNode orders = JSON.createArrayNode();
        for (int index = 0; index < numberOfTasks; index++) {
            orders.addObject().put("verb", "start").put("sack", job + "/" + index).put("try", 1);
        }
        execute(orders);
    }

    boolean reachable() {
        return up && !terminated && !hung;
    }

    private void execute(JsonNode orders) {
        for (JsonNode order : orders) {
            String id = order.path("sack").asText();
            long attempt = order.path("try").asLong();
            String key = id + '#' + attempt;
            SimTask task = tasks.get(key);
            switch (order.path("verb").asText()) {
                case "start" -> {
                    if (task == null) {
                        start(key, new SimTask(id, attempt, cluster.clock().now()));
                    }
                }
                case "halt" -> {
                    if (task != null && !task.phase.equals("ended") && !ignoringHalts) {
                        halt(key, task, order.path("windDownS").asDouble());
                    }
                }
                default -> {
                    if (task != null && task.phase.equals("ended")) {
                        tasks.remove(key);
                    }
                }
            }
        }
    }

    /**
     * Starts a save if the task is running, its job has checkpoints and the grace period is long
     * enough. A task that is saving already continues unless the grace period is 0. All other tasks
     * end immediately.
     */
    private void halt(String key, SimTask task, double graceSeconds) {
        double now = cluster.clock().now();
        task.haltedAt = Math.min(task.haltedAt, now);
        if (task.phase.equals("saving")) {
            if (graceSeconds == 0) {
                stop(task, now);
            }
            return;
        }
        boolean saves =
                task.phase.equals("running")
                        && cluster.progress().hasCheckpoints(task.id)
                        && graceSeconds >= cluster.progress().nominalSaveSeconds(task.id);
        if (!saves) {
            stop(task, now);
            return;
        }
        task.phase = "saving";
        double saveStartedAt = now;
        sendHeartbeat();
        double saveSeconds = cluster.progress().saveSeconds(task.id);
        if (saveSeconds < Double.POSITIVE_INFINITY) {
            runAfterDelayAndHang(
                    saveSeconds,
                    () -> {
                        if (tasks.get(key) == task && task.phase.equals("saving")) {
                            cluster.progress().saved(task, saveStartedAt);
                            end(task, "stopped");
                            sendHeartbeat();
                        }
                    });
        }
    }

    private void stop(SimTask task, double now) {
        if (task.onMachine()) {
            cluster.progress().killed(task, now);
        }
        end(task, "stopped");
    }

    private void start(String key, SimTask task) {
        boolean busy =
                tasks.values().stream()
                        .anyMatch(t -> t.id.equals(task.id) && !t.phase.equals("ended"));
        tasks.put(key, task);
        if (busy) {
            end(task, "busy");
            return;
        }
        runAfterDelayAndHang(
                cluster.imageFetchSeconds(),
                () -> {
                    if (tasks.get(key) != task || !task.phase.equals("pulling")) {
                        return;
                    }
                    task.phase = "running";
                    task.runningSince = cluster.clock().now();
                    cluster.started(this, task);
                    sendHeartbeat();
                    double runSeconds = fails(task) ? 0.1 : cluster.progress().secondsLeft(task.id);
                    if (runSeconds < Double.POSITIVE_INFINITY) {
                        runAfterDelayAndHang(runSeconds, () -> finish(key, task));
                    }
                });
    }

    /**
     * Runs an action after a delay, and after the end of a hang if the machine hangs by then. If
     * the lease has expired by then, all tasks are killed before the action runs.
     */
    private void runAfterDelayAndHang(double seconds, Runnable then) {
        cluster.clock()
                .after(
                        seconds,
                        () -> {
                            checkLease();
                            if (hung) {
                                runAfterDelayAndHang(SimSettings.HEARTBEAT_SECONDS / 20, then);
                            } else if (!terminated) {
                                then.run();
                            }
                        });
    }

    private void finish(String key, SimTask task) {
        if (tasks.get(key) == task && task.phase.equals("running")) {
            boolean failed = fails(task);
            end(task, failed ? "error" : "done");
            if (!failed) {
                cluster.done(task.id);
            }
            sendHeartbeat();
        }
    }

    private boolean fails(SimTask task) {
        return failingAllTasks || cluster.isBroken(task.id);
    }

    private static void end(SimTask task, String cause) {
        task.phase = "ended";
        task.cause = cause;
    }

    List<SimTask> tasks() {
        return isLeaseExpired() ? List.of() : List.copyOf(tasks.values());
    }
}
