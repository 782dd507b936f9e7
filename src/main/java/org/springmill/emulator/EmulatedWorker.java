package org.springmill.emulator;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.springmill.emulator.JobRegistry.EmulatedJob;
import org.springmill.emulator.Measurements.Latency;
import org.springmill.emulator.Measurements.Message;
import org.springmill.emulator.Scenario.MachineGroup;
import org.springmill.protocol.MalformedMessageException;
import org.springmill.protocol.Submission;
import org.springmill.protocol.TaskId;
import org.springmill.protocol.WorkerMessages;
import org.springmill.protocol.WorkerMessages.Command;
import org.springmill.protocol.WorkerMessages.ExitCause;
import org.springmill.protocol.WorkerMessages.Forget;
import org.springmill.protocol.WorkerMessages.Heartbeat;
import org.springmill.protocol.WorkerMessages.Start;
import org.springmill.protocol.WorkerMessages.Stop;
import org.springmill.protocol.WorkerMessages.TaskState;
import org.springmill.protocol.WorkerMessages.TaskStatus;
import org.springmill.protocol.counterpart.WorkerSideMessages;
import org.springmill.protocol.counterpart.WorkerSideMessages.Orders;
import org.springmill.transport.EventLoop;
import org.springmill.transport.HttpClient;
import org.springmill.transport.HttpClient.Reply;
import org.springmill.transport.HttpClient.Request;
import org.springmill.transport.HttpHandler;

/**
 * A worker by the published protocol, whose tasks take time and nothing else: reports, obeys
 * tokens, keeps its lease, fetches images, and starts, ends and loses tasks.
 */
final class EmulatedWorker implements HttpHandler {
    private static final Logger LOG = LoggerFactory.getLogger(EmulatedWorker.class);
    private static final double HEARTBEAT_TIMEOUT_SECONDS = 4;
    private static final double NEXT_CONTROLLER_SECONDS = 1;
    private static final double MIN_HEARTBEAT_INTERVAL_SECONDS = 0.5;
    private static final double HEARTBEAT_JITTER = 0.25;
    private static final double TOLERANCE = 1e-6;
    private static final int SOCKETS = 2;

    private final String name;
    private final String address;
    private final String zone;
    private final MachineGroup type;
    private final Environment environment;
    private final EventLoop loop;
    private final HttpClient client;
    private final Ports ports;
    private final SplittableRandom random;
    private final Map<Key, Task> tasks = new HashMap<>();
    private final Set<String> images = new HashSet<>();
    private int controller;
    private long epoch = 1;
    private long sequence;
    private long fencingToken;
    private double leaseRenewedAt;
    private double heartbeatSentAt = Double.NEGATIVE_INFINITY;
    private double tokenHeartbeatAt;
    private boolean heartbeatInFlight;
    private boolean statusChanged;
    private boolean heartbeatScheduled;
    private boolean silent;
    private boolean destroyed;

    /** What workers share. */
    record Environment(
            Scenario scenario,
            List<String> controllerAddresses,
            Map<String, Integer> controllerNumbers,
            JobRegistry jobs,
            Measurements measurements,
            Observer observer) {}

    /** Told of what happens on workers, on the worker's loop. */
    interface Observer {
        void startCommanded(TaskId task);

        /**
         * A task is on its machine.
         *
         * @param address at which a replica answers its requests
         */
        void started(TaskId task, String machine, String address);

        void ended(TaskId task, String machine, boolean done);

        /** A task that is on its machine was told to stop. */
        void stopCommanded(TaskId task);

        void cleared(String machine);
    }

    private record Key(TaskId task, long attempt) {}

    private static final class Task {
        private final Key key;
        private final Submission spec;
        private final double commandedAt;
        private TaskState state = TaskState.FETCHING;
        private ExitCause cause = ExitCause.NONE;
        private double runningSince;

        /** Answers requests if the task is a replica of a model; null otherwise. */
        private ModelServer server;

        Task(Key key, Submission spec, double commandedAt) {
            this.key = key;
            this.spec = spec;
            this.commandedAt = commandedAt;
        }

        boolean holdsResources() {
            return state != TaskState.EXITED;
        }

        boolean onMachine() {
            return state == TaskState.RUNNING || state == TaskState.SAVING;
        }
    }

    /** Opens further ports of a machine. */
    interface Ports {
        /** Serves HTTP on a port of its own and returns its address. */
        String listen(HttpHandler handler) throws IOException;
    }

    EmulatedWorker(
            String name,
            String address,
            String zone,
            MachineGroup type,
            Environment environment,
            EventLoop loop,
            HttpClient client,
            Ports ports,
            SplittableRandom random) {
        this.ports = ports;
        this.name = name;
        this.address = address;
        this.zone = zone;
        this.type = type;
        this.environment = environment;
        this.loop = loop;
        this.client = client;
        this.random = random;
        controller = random.nextInt(environment.controllerAddresses().size());
    }

    static int sockets() {
        return SOCKETS;
    }

    String name() {
        return name;
    }

    String zone() {
        return zone;
    }

    /** The machine is up from now on. */
    void start() {
        leaseRenewedAt = loop.now();
        loop.after(
                random.nextDouble() * environment.scenario().workers().reportSeconds(), this::tick);
    }

    /** The machine falls silent with all that runs on it, or comes back with nothing. */
    void setSilent(boolean nowSilent) {
        if (nowSilent) {
            killAllTasks();
        } else if (silent) {
            epoch++;
            leaseRenewedAt = loop.now();
            images.clear();
        }
        silent = nowSilent;
    }

    /** The machine is gone for good. */
    void destroy() {
        destroyed = true;
        killAllTasks();
    }

    private void killAllTasks() {
        tasks.values().stream().filter(Task::onMachine).forEach(this::recordKilled);
        tasks.clear();
        environment.observer().cleared(name);
    }

    private void tick() {
        if (destroyed) {
            return;
        }
        if (!silent) {
            checkLease();
            sendHeartbeat();
        }
        double jitter = 1 + HEARTBEAT_JITTER * (2 * random.nextDouble() - 1);
        loop.after(environment.scenario().workers().reportSeconds() * jitter, this::tick);
    }

    private void checkLease() {
        if (loop.now() - leaseRenewedAt > environment.scenario().workers().leaseSeconds()) {
            killAllTasks();
            epoch++;
            leaseRenewedAt = loop.now();
        }
    }

    private Heartbeat heartbeat() {
        List<TaskStatus> listed = new ArrayList<>(tasks.size());
        for (Task task : tasks.values()) {
            listed.add(new TaskStatus(task.key.task(), task.key.attempt(), task.state, task.cause));
        }
        return new Heartbeat(
                name,
                address,
                type.type(),
                zone,
                false,
                epoch,
                ++sequence,
                fencingToken,
                null,
                listed);
    }

    /** Something changed: reported at once, though not more often than the protocol allows. */
    private void requestHeartbeat() {
        statusChanged = true;
        if (heartbeatInFlight || heartbeatScheduled) {
            return;
        }
        heartbeatScheduled = true;
        double wait = heartbeatSentAt + MIN_HEARTBEAT_INTERVAL_SECONDS - loop.now();
        loop.after(
                Math.max(0, wait),
                () -> {
                    heartbeatScheduled = false;
                    sendHeartbeat();
                });
    }

    private void sendHeartbeat() {
        if (heartbeatInFlight || silent || destroyed) {
            return;
        }
        heartbeatInFlight = true;
        statusChanged = false;
        heartbeatSentAt = loop.now();
        double sentAt = heartbeatSentAt;
        long sentSession = epoch;
        byte[] body = WorkerSideMessages.report(heartbeat());
        String to = environment.controllerAddresses().get(controller);
        Request request =
                new Request(
                        to, "POST", WorkerMessages.HEARTBEAT_PATH, body, HEARTBEAT_TIMEOUT_SECONDS);
        client.send(request, reply -> responseReceived(reply, sentAt, sentSession, body.length));
    }

    private void responseReceived(Reply reply, double sentAt, long sentSession, int bytes) {
        heartbeatInFlight = false;
        Measurements measurements = environment.measurements();
        measurements.message(Message.REPORT, bytes, reply.body().length);
        measurements.outcome(Message.REPORT, reply.status());
        if (silent || destroyed) {
            return;
        }
        checkLease();
        if (reply.status() == 200) {
            measurements.latency(Latency.REPORT, loop.now() - sentAt);
            accept(reply.body(), sentAt, sentSession);
        } else if (reply.status() == 421) {
            followRedirect(reply.body());
        } else {
            tryNextController();
        }
        if (statusChanged) {
            requestHeartbeat();
        }
    }

    private void accept(byte[] body, double sentAt, long sentSession) {
        Orders orders = parse(body);
        if (orders != null
                && orders.hasToken()
                && orders.token() >= fencingToken
                && epoch == sentSession) {
            raiseFencingToken(orders.token());
            leaseRenewedAt = Math.max(leaseRenewedAt, sentAt);
            orders.commands().forEach(this::execute);
        }
    }

    private static Orders parse(byte[] body) {
        try {
            return WorkerSideMessages.orders(body);
        } catch (MalformedMessageException e) {
            return null;
        }
    }

    private void raiseFencingToken(long shown) {
        double half = environment.scenario().workers().leaseSeconds() / 2;
        if (shown > fencingToken) {
            fencingToken = shown;
            if (loop.now() - tokenHeartbeatAt > half) {
                tokenHeartbeatAt = loop.now();
                requestHeartbeat();
            }
        }
    }

    private void followRedirect(byte[] body) {
        Integer leader = null;
        try {
            String node = WorkerSideMessages.redirect(body);
            leader = node == null ? null : environment.controllerNumbers().get(node);
        } catch (MalformedMessageException e) {
            // Taken as an answer that names nobody.
        }
        if (leader == null || leader == controller) {
            tryNextController();
        } else {
            controller = leader;
            loop.after(random.nextDouble() * MIN_HEARTBEAT_INTERVAL_SECONDS, this::sendHeartbeat);
        }
    }

    private void tryNextController() {
        controller = (controller + 1) % environment.controllerAddresses().size();
        loop.after(NEXT_CONTROLLER_SECONDS, this::sendHeartbeat);
    }

    /** Commands that are sent straight to this worker. */
    @Override
    public void handle(Call call) {
        if (silent || destroyed) {
            // No answer: whoever asks waits until its time is over.
            return;
        }
        checkLease();
        if (!call.path().equals(WorkerMessages.COMMANDS_PATH)) {
            call.reply(200, WorkerSideMessages.report(heartbeat()), 0);
            return;
        }
        Orders orders = parse(call.body());
        if (orders == null || !orders.hasToken() || !orders.hasSession()) {
            call.reply(400, new byte[0], 0);
            return;
        }
        boolean refused = orders.token() < fencingToken || orders.session() != epoch;
        if (!refused) {
            raiseFencingToken(orders.token());
            orders.commands().forEach(this::execute);
        }
        byte[] answer = WorkerSideMessages.report(heartbeat());
        environment.measurements().message(Message.COMMANDS, call.body().length, answer.length);
        call.reply(refused ? 409 : 200, answer, 0);
    }

    /** Starts the model server of a replica and returns its address. */
    private String serveModel(Task task, Scenario.Serving serving) {
        task.server = new ModelServer(loop, serving);
        try {
            return ports.listen(task.server);
        } catch (IOException e) {
            LOG.warn("no port for the model server of {}", task.key.task(), e);
            return address;
        }
    }

    private void execute(Command command) {
        Key key = new Key(command.task(), command.attempt());
        Task task = tasks.get(key);
        if (command instanceof Start) {
            if (task == null) {
                start(key);
            }
        } else if (command instanceof Stop stop) {
            if (task != null) {
                stop(task, stop.graceSeconds());
            }
        } else if (command instanceof Forget && task != null && !task.holdsResources()) {
            tasks.remove(key);
        }
    }

    private void start(Key key) {
        EmulatedJob job = environment.jobs().find(key.task().job());
        environment.observer().startCommanded(key.task());
        Task task = new Task(key, job == null ? null : job.spec(), loop.now());
        ExitCause refusal = startRefusal(task);
        tasks.put(key, task);
        if (refusal != ExitCause.NONE) {
            end(task, refusal);
            return;
        }
        boolean cached = images.contains(job.spec().image());
        double fetchSeconds = cached ? 0 : job.spec().imageGb() / type.fetchGbPerSecond();
        loop.after(fetchSeconds, () -> run(task, job));
        requestHeartbeat();
    }

    private ExitCause startRefusal(Task task) {
        if (task.spec == null) {
            return ExitCause.UNKNOWN_JOB;
        }
        double cpus = type.cpus() - task.spec.cpus();
        double gpus = type.gpus() - task.spec.gpus();
        double memory = type.memoryGb() - task.spec.memoryGb();
        for (Task other : tasks.values()) {
            if (other.holdsResources()) {
                if (other.key.task().equals(task.key.task())) {
                    return ExitCause.BUSY;
                }
                cpus -= other.spec.cpus();
                gpus -= other.spec.gpus();
                memory -= other.spec.memoryGb();
            }
        }
        return Math.min(cpus, Math.min(gpus, memory)) < -TOLERANCE
                ? ExitCause.NO_ROOM
                : ExitCause.NONE;
    }

    private boolean isCurrent(Task task) {
        return !destroyed && tasks.get(task.key) == task;
    }

    private void run(Task task, EmulatedJob job) {
        if (!isCurrent(task) || task.state != TaskState.FETCHING) {
            return;
        }
        images.add(task.spec.image());
        task.state = TaskState.RUNNING;
        task.runningSince = loop.now();
        String modelAddress =
                environment
                        .scenario()
                        .serving()
                        .filter(serving -> job.spec().service())
                        .map(serving -> serveModel(task, serving))
                        .orElse(address);
        environment.measurements().latency(Latency.START, loop.now() - task.commandedAt);
        environment.observer().started(task.key.task(), name, modelAddress);
        if (!job.spec().service()) {
            double left = environment.jobs().secondsLeft(task.key.task(), job);
            loop.after(left, () -> finish(task));
        }
        requestHeartbeat();
    }

    private void finish(Task task) {
        if (isCurrent(task) && task.state == TaskState.RUNNING) {
            end(task, ExitCause.DONE);
        }
    }

    private void stop(Task task, double graceSeconds) {
        if (!task.holdsResources()) {
            return;
        }
        if (task.onMachine()) {
            environment.observer().stopCommanded(task.key.task());
        }
        boolean saves =
                task.state == TaskState.RUNNING
                        && task.spec.checkpoints()
                        && graceSeconds >= task.spec.checkpointSaveSeconds();
        if (saves) {
            task.state = TaskState.SAVING;
            double stoppedAt = loop.now();
            loop.after(task.spec.checkpointSaveSeconds(), () -> checkpointSaved(task, stoppedAt));
        } else if (isCurrent(task) && !(task.state == TaskState.SAVING && graceSeconds > 0)) {
            if (task.onMachine()) {
                recordKilled(task);
            }
            end(task, ExitCause.STOPPED);
        }
    }

    private void checkpointSaved(Task task, double stoppedAt) {
        if (isCurrent(task) && task.state == TaskState.SAVING) {
            environment.jobs().progress().saved(task.key.task(), stoppedAt - task.runningSince);
            end(task, ExitCause.STOPPED);
        }
    }

    /** A task ends without a save. */
    private void recordKilled(Task task) {
        if (task.server != null) {
            task.server.stop();
        }
        if (!task.spec.service()) {
            environment
                    .jobs()
                    .progress()
                    .killed(task.key.task(), task.spec, loop.now() - task.runningSince);
        }
    }

    private void end(Task task, ExitCause cause) {
        boolean wasOnMachine = task.onMachine();
        task.state = TaskState.EXITED;
        task.cause = cause;
        if (wasOnMachine) {
            environment.observer().ended(task.key.task(), name, cause == ExitCause.DONE);
        }
        requestHeartbeat();
    }
}
