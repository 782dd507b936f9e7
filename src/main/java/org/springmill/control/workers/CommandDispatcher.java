package org.springmill.control.workers;

import java.util.List;
import java.util.function.BooleanSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.springmill.control.cluster.Fleet;
import org.springmill.control.cluster.Machine;
import org.springmill.control.cluster.MessagePosition;
import org.springmill.control.timing.Timeouts;
import org.springmill.protocol.MalformedMessageException;
import org.springmill.protocol.WorkerMessages;
import org.springmill.protocol.WorkerMessages.Command;
import org.springmill.protocol.WorkerMessages.Heartbeat;
import org.springmill.transport.HttpClient;
import org.springmill.transport.HttpClient.Reply;

/**
 * Sends workers the commands that are due, one request at a time to each, and passes on the
 * heartbeat that each response carries.
 */
public final class CommandDispatcher {
    private static final Logger LOG = LoggerFactory.getLogger(CommandDispatcher.class);

    /**
     * Limit on concurrent probes in a small fleet. A probe is a request without a command to a
     * machine whose epoch is unknown, since it has sent this leader no heartbeat. A new leader
     * probes all machines; with hundreds of concurrent probes it did not answer heartbeats before
     * the leases expired. Requests to machines that stopped sending heartbeats are not limited:
     * when a rack fails each of them takes its whole timeout, so under a limit the last machines
     * were found to be dead many seconds after the first.
     */
    private static final int MIN_CONCURRENT_PROBES = 16;

    /** In a large fleet, one in this many machines may be probed at a time. */
    private static final int MACHINES_PER_PROBE = 64;

    /** How often an unconfirmed command is sent again per heartbeat interval. */
    private static final double RESENDS_PER_HEARTBEAT = 2;

    /**
     * After a conflict response the next request is sent earlier: after the resend interval divided
     * by this. The response carries the epoch and fencing token to use.
     */
    private static final double CONFLICT_PAUSE_DIVISOR = 8;

    private static final long FIRST_EPOCH = 1;

    private static final int OK = 200;

    /** The worker has seen a higher fencing token, or is in another epoch. */
    private static final int CONFLICT = 409;

    /** Receives the heartbeats that workers send in response to commands. */
    public interface HeartbeatConsumer {
        /**
         * Handles the heartbeat with which a machine's worker responded to a request.
         *
         * @param latestBefore the place of the newest message that had arrived from the worker when
         *     the request was sent
         */
        void accept(Machine machine, Heartbeat heartbeat, MessagePosition latestBefore);
    }

    private final Fleet fleet;
    private final HttpClient http;
    private final Timeouts timeouts;
    private final HeartbeatConsumer heartbeats;
    private final double resendIntervalSeconds;
    private final DueCommands dueCommands;
    private int probesInFlight;
    private boolean closed;

    /**
     * Makes a dispatcher that has sent nothing yet.
     *
     * @param fleet the machines of this term
     * @param http sends the requests
     * @param timeouts the timeout of requests and the interval of heartbeats
     * @param heartbeats receives the heartbeats in responses
     * @param mayStartTasks whether the leader may act for the controllers now; asking may end its
     *     term
     */
    public CommandDispatcher(
            Fleet fleet,
            HttpClient http,
            Timeouts timeouts,
            HeartbeatConsumer heartbeats,
            BooleanSupplier mayStartTasks) {
        this.fleet = fleet;
        this.http = http;
        this.timeouts = timeouts;
        this.heartbeats = heartbeats;
        resendIntervalSeconds = timeouts.heartbeatIntervalSeconds() / RESENDS_PER_HEARTBEAT;
        dueCommands = new DueCommands(fleet, resendIntervalSeconds, mayStartTasks);
    }

    /** Sends nothing more, and ignores responses from now on. */
    public void close() {
        closed = true;
    }

    /** Sends the due commands to a machine, or a status request, if it may receive a request. */
    public void requestSend(Machine machine) {
        if (closed || !canReceiveCommands(machine)) {
            return;
        }
        boolean epochKnown = machine.epoch() != 0;
        List<Command> commands = epochKnown ? dueCommands(machine) : List.of();
        if (closed) {
            return;
        }
        boolean isProbe = !epochKnown;
        boolean nothingToSend = commands.isEmpty() && !machine.commandChannel().isStatusRequested();
        if (nothingToSend || (isProbe && probesInFlight >= maxConcurrentProbes())) {
            return;
        }
        send(machine, commands, isProbe);
    }

    /**
     * Asks a worker whether its process has been replaced, by a request without commands, beside
     * one that may be in flight: the process that got that one may never answer. The request raises
     * the token, so that a new process refuses copies of all earlier commands, and its next
     * heartbeat shows the same as the answer.
     *
     * <p>A heartbeat without a token is always checked: there are few, and its worker obeys any
     * command until then.
     *
     * @param heartbeat that may be of a new process
     */
    void checkProcess(Machine machine, Heartbeat heartbeat) {
        boolean isDue =
                heartbeat.fencingToken() == 0
                        || machine.commandChannel()
                                .processChecks()
                                .tryAcquire(fleet.now(), resendIntervalSeconds);
        if (isDue && !closed && !machine.address().isEmpty()) {
            machine.workerEpoch().challenge();
            post(machine, heartbeat.epoch(), List.of(), this::handleProcessCheck);
        }
    }

    private void handleProcessCheck(Machine machine, Reply response, MessagePosition latestBefore) {
        if (!closed && isAnswer(response)) {
            acceptHeartbeat(machine, response, latestBefore);
            requestSend(machine);
        }
    }

    private void send(Machine machine, List<Command> commands, boolean isProbe) {
        machine.commandChannel().requestSent();
        probesInFlight += isProbe ? 1 : 0;
        // A worker that has sent no heartbeat yet is most likely in its first epoch. If not, it
        // responds with a conflict that carries its epoch.
        post(
                machine,
                Math.max(FIRST_EPOCH, machine.epoch()),
                commands,
                (sentTo, response, latestBefore) -> {
                    probesInFlight -= isProbe ? 1 : 0;
                    handleResponse(sentTo, response, latestBefore);
                });
    }

    /** Receives the response to a request with commands. */
    private interface ResponseHandler {
        void handle(Machine machine, Reply response, MessagePosition latestBefore);
    }

    private void post(
            Machine machine, long epoch, List<Command> commands, ResponseHandler handler) {
        byte[] body = WorkerMessages.encodeCommands(machine.fencingToken(), epoch, commands);
        MessagePosition latestBefore = machine.workerEpoch().latestPosition();
        LOG.debug(
                "sending worker {} the commands {} with fencing token {} to epoch {}",
                machine.name(),
                commands,
                machine.fencingToken(),
                epoch);
        http.send(
                new HttpClient.Request(
                        machine.address(),
                        "POST",
                        WorkerMessages.COMMANDS_PATH,
                        body,
                        timeouts.commandTimeoutSeconds()),
                response -> handler.handle(machine, response, latestBefore));
    }

    private int maxConcurrentProbes() {
        return Math.max(MIN_CONCURRENT_PROBES, fleet.machines().size() / MACHINES_PER_PROBE);
    }

    private boolean canReceiveCommands(Machine machine) {
        boolean mayRun =
                machine.state() == Machine.State.UP
                        || machine.state() == Machine.State.PROVISIONING;
        return mayRun
                && machine.commandChannel().isReady(fleet.now())
                && !machine.address().isEmpty();
    }

    private void handleResponse(Machine machine, Reply response, MessagePosition latestBefore) {
        machine.commandChannel().requestEnded();
        if (closed) {
            return;
        }
        if (!isAnswer(response)) {
            handleFailure(machine, response.status());
            return;
        }
        machine.commandsSucceeded();
        acceptHeartbeat(machine, response, latestBefore);
        if (response.status() == CONFLICT) {
            pause(machine, resendIntervalSeconds / CONFLICT_PAUSE_DIVISOR);
        }
        requestSend(machine);
    }

    /** Whether the worker has answered, with its status. */
    private static boolean isAnswer(Reply response) {
        return response.status() == OK || response.status() == CONFLICT;
    }

    private void handleFailure(Machine machine, int status) {
        LOG.debug("command request to worker {} failed with status {}", machine.name(), status);
        machine.commandsFailed();
        machine.commandChannel().requestStatus();
        pause(machine, resendIntervalSeconds);
    }

    private void pause(Machine machine, double seconds) {
        machine.commandChannel().pauseUntil(fleet.now() + seconds);
    }

    private void acceptHeartbeat(Machine machine, Reply response, MessagePosition latestBefore) {
        try {
            Heartbeat heartbeat = WorkerMessages.decodeHeartbeat(response.body());
            if (heartbeat.machine().equals(machine.name())) {
                heartbeats.accept(machine, heartbeat, latestBefore);
            }
        } catch (MalformedMessageException e) {
            LOG.warn(
                    "malformed heartbeat in a response of worker {}: {}; heartbeat ignored",
                    machine.name(),
                    e.getMessage());
        }
    }

    /**
     * Returns the commands that are due now, and schedules when each is due again. For the response
     * to a heartbeat, which carries them if requests to the worker fail.
     */
    List<Command> dueCommands(Machine machine) {
        return dueCommands.collect(machine);
    }
}
