package org.springmill.emulator;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.springmill.emulator.Measurements.Latency;
import org.springmill.emulator.Measurements.Message;
import org.springmill.emulator.Scenario.MachineGroup;
import org.springmill.protocol.MalformedMessageException;
import org.springmill.protocol.MessageLimits;
import org.springmill.protocol.TaskId;
import org.springmill.protocol.WorkerMessages;
import org.springmill.protocol.WorkerMessages.Heartbeat;
import org.springmill.protocol.counterpart.WorkerSideMessages;
import org.springmill.protocol.counterpart.WorkerSideMessages.CommandBatch;
import org.springmill.transport.EventLoop;
import org.springmill.transport.HttpClient;
import org.springmill.transport.HttpClient.Reply;
import org.springmill.transport.HttpClient.Request;
import org.springmill.transport.HttpHandler;

/**
 * Implements the published worker protocol: sends heartbeats, rejects commands below the highest
 * fencing token it has received, kills its tasks when its lease expires and passes commands on to
 * them.
 */
final class EmulatedWorker implements HttpHandler {
    private static final double HEARTBEAT_TIMEOUT_SECONDS = 4;
    private static final double NEXT_CONTROLLER_SECONDS = 1;
    private static final double MIN_HEARTBEAT_INTERVAL_SECONDS = 0.5;
    private static final double HEARTBEAT_JITTER = 0.25;
    private static final double MIN_LEASE_CHECK_SECONDS = 0.02;
    private static final int SOCKETS = 2;
    private static final long FIRST_EPOCH = 1;

    private final String name;
    private final String address;
    private final String zone;
    private final MachineGroup type;
    private final Environment environment;
    private final EventLoop loop;
    private final HttpClient client;
    private final SplittableRandom random;
    private final EmulatedTasks tasks;
    private int controller;

    /** Worker processes so far; responses to earlier ones are lost with their connections. */
    private int processes = 1;

    private long epoch = FIRST_EPOCH;
    private long sequence;
    private long fencingToken;
    private double leaseRenewedAt;
    private double heartbeatSentAt = Double.NEGATIVE_INFINITY;
    private double tokenHeartbeatAt;
    private boolean heartbeatInFlight;
    private boolean statusChanged;
    private boolean heartbeatScheduled;
    private boolean failed;
    private boolean heartbeatsLost;
    private boolean destroyed;

    /** Objects that all workers of an emulation share. */
    record Environment(
            Scenario scenario,
            List<String> controllerAddresses,
            Map<String, Integer> controllerNumbers,
            JobRegistry jobs,
            Measurements measurements,
            Observer observer) {}

    /** Receives the events of workers. Its methods are called on the event loop of the worker. */
    interface Observer {
        /** A start command for a task has arrived. */
        void startCommanded(TaskId task);

        /**
         * A task has begun to run.
         *
         * @param address address at which a replica of a model answers requests
         */
        void started(TaskId task, String machine, String address);

        /** A task that was running or saving a checkpoint has ended. */
        void ended(TaskId task, String machine, boolean done);

        /** A stop command for a task that is running or saving a checkpoint has arrived. */
        void stopCommanded(TaskId task);

        /** All tasks of a machine were killed. */
        void cleared(String machine);
    }

    /** Opens further ports of a machine. */
    interface Ports {
        /** Serves HTTP on a free port and returns its address. */
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
        this.name = name;
        this.address = address;
        this.zone = zone;
        this.type = type;
        this.environment = environment;
        this.loop = loop;
        this.client = client;
        this.random = random;
        tasks =
                new EmulatedTasks(
                        name, address, type, environment, loop, ports, this::requestHeartbeat);
        controller = random.nextInt(environment.controllerAddresses().size());
    }

    static int sockets() {
        return SOCKETS;
    }

    String zone() {
        return zone;
    }

    /** The machine has booted. Its first heartbeat follows within one heartbeat interval. */
    void start() {
        leaseRenewedAt = loop.now();
        watchLease();
        loop.after(
                random.nextDouble() * environment.scenario().workers().reportSeconds(), this::tick);
    }

    /**
     * The machine fails with all of its tasks, or restarts without tasks and with a worker process
     * that knows nothing of the one before it.
     */
    void setFailed(boolean nowFailed) {
        if (nowFailed) {
            tasks.killAll();
        } else if (failed) {
            processes++;
            heartbeatInFlight = false;
            epoch = FIRST_EPOCH;
            sequence = 0;
            fencingToken = 0;
            leaseRenewedAt = loop.now();
            tasks.clearImageCache();
        }
        failed = nowFailed;
    }

    /** Its heartbeats reach no controller, or reach them again; commands arrive all the same. */
    void setHeartbeatsLost(boolean lost) {
        heartbeatsLost = lost;
    }

    /** The machine is deleted. */
    void destroy() {
        destroyed = true;
        tasks.killAll();
    }

    private void tick() {
        if (destroyed) {
            return;
        }
        if (!failed) {
            checkLease();
            sendHeartbeat();
        }
        double jitter = 1 + HEARTBEAT_JITTER * (2 * random.nextDouble() - 1);
        loop.after(environment.scenario().workers().reportSeconds() * jitter, this::tick);
    }

    /** Ends the lease when it is over, whether or not anything else happens then. */
    private void watchLease() {
        if (destroyed) {
            return;
        }
        if (failed) {
            // Its tasks have ended, and a new lease begins when it recovers.
            loop.after(environment.scenario().workers().reportSeconds(), this::watchLease);
            return;
        }
        checkLease();
        loop.after(Math.max(MIN_LEASE_CHECK_SECONDS, leaseSecondsLeft()), this::watchLease);
    }

    private double leaseSecondsLeft() {
        return leaseRenewedAt + environment.scenario().workers().leaseSeconds() - loop.now();
    }

    private void checkLease() {
        if (leaseSecondsLeft() < 0) {
            tasks.killAll();
            epoch++;
            leaseRenewedAt = loop.now();
        }
    }

    private Heartbeat heartbeat() {
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
                tasks.statuses());
    }

    /** Sends a heartbeat for a changed status after the minimum interval of the protocol. */
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
        if (heartbeatInFlight || heartbeatsLost || failed || destroyed) {
            return;
        }
        heartbeatInFlight = true;
        statusChanged = false;
        heartbeatSentAt = loop.now();
        double sentAt = heartbeatSentAt;
        long sentEpoch = epoch;
        byte[] body = WorkerSideMessages.encodeHeartbeat(heartbeat());
        String to = environment.controllerAddresses().get(controller);
        Request request =
                new Request(
                        to, "POST", WorkerMessages.HEARTBEAT_PATH, body, HEARTBEAT_TIMEOUT_SECONDS);
        int sentBy = processes;
        client.send(
                request,
                reply -> {
                    if (sentBy == processes) {
                        responseReceived(reply, sentAt, sentEpoch, body.length);
                    }
                });
    }

    private void responseReceived(Reply reply, double sentAt, long sentEpoch, int bytes) {
        heartbeatInFlight = false;
        Measurements measurements = environment.measurements();
        measurements.message(Message.REPORT, bytes, reply.body().length);
        measurements.outcome(Message.REPORT, reply.status());
        if (failed || destroyed) {
            return;
        }
        checkLease();
        if (reply.status() == 200) {
            measurements.latency(Latency.REPORT, loop.now() - sentAt);
            accept(reply.body(), sentAt, sentEpoch);
        } else if (reply.status() == 421) {
            followRedirect(reply.body());
        } else {
            tryNextController();
        }
        if (statusChanged) {
            requestHeartbeat();
        }
    }

    private void accept(byte[] body, double sentAt, long sentEpoch) {
        CommandBatch batch = parse(body);
        if (batch != null
                && batch.hasFencingToken()
                && batch.fencingToken() >= fencingToken
                && epoch == sentEpoch) {
            raiseFencingToken(batch.fencingToken());
            leaseRenewedAt = Math.max(leaseRenewedAt, sentAt);
            batch.commands().forEach(tasks::execute);
        }
    }

    /** Returns null for a malformed message, and for one that the protocol does not allow. */
    private static CommandBatch parse(byte[] body) {
        if (body.length > MessageLimits.MAX_BYTES) {
            return null;
        }
        try {
            return WorkerSideMessages.decodeCommands(body);
        } catch (MalformedMessageException e) {
            return null;
        }
    }

    private void raiseFencingToken(long received) {
        double half = environment.scenario().workers().leaseSeconds() / 2;
        if (received > fencingToken) {
            fencingToken = received;
            if (loop.now() - tokenHeartbeatAt > half) {
                tokenHeartbeatAt = loop.now();
                requestHeartbeat();
            }
        }
    }

    private void followRedirect(byte[] body) {
        Integer leader = null;
        try {
            String node = WorkerSideMessages.decodeRedirect(body);
            leader = node == null ? null : environment.controllerNumbers().get(node);
        } catch (MalformedMessageException e) {
            // Treated as a response that names no leader.
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

    /** Answers commands that a controller sends to this worker, and requests for its status. */
    @Override
    public void handle(Call call) {
        if (failed || destroyed) {
            // No response: the request times out.
            return;
        }
        checkLease();
        if (!call.path().equals(WorkerMessages.COMMANDS_PATH)) {
            call.reply(200, WorkerSideMessages.encodeHeartbeat(heartbeat()), 0);
            return;
        }
        CommandBatch batch = parse(call.body());
        if (batch == null || !batch.hasFencingToken() || !batch.hasEpoch()) {
            call.reply(400, new byte[0], 0);
            return;
        }
        boolean refused = batch.fencingToken() < fencingToken || batch.epoch() != epoch;
        if (!refused) {
            raiseFencingToken(batch.fencingToken());
            batch.commands().forEach(tasks::execute);
        }
        byte[] answer = WorkerSideMessages.encodeHeartbeat(heartbeat());
        environment.measurements().message(Message.COMMANDS, call.body().length, answer.length);
        call.reply(refused ? 409 : 200, answer, 0);
    }
}
