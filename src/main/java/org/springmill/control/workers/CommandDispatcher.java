package org.springmill.control.workers;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.springmill.control.cluster.Fleet;
import org.springmill.control.cluster.Machine;
import org.springmill.control.cluster.TaskAttempt;
import org.springmill.control.timing.Timeouts;
import org.springmill.protocol.MalformedMessageException;
import org.springmill.protocol.WorkerMessages;
import org.springmill.protocol.WorkerMessages.Command;
import org.springmill.protocol.WorkerMessages.Forget;
import org.springmill.protocol.WorkerMessages.Heartbeat;
import org.springmill.protocol.WorkerMessages.Start;
import org.springmill.protocol.WorkerMessages.Stop;
import org.springmill.protocol.WorkerMessages.TaskState;
import org.springmill.protocol.WorkerMessages.TaskStatus;
import org.springmill.transport.HttpClient;
import org.springmill.transport.HttpClient.Reply;

/**
 * Brings workers to what the cluster state says: commands are derived from the difference between
 * the two each time, never queued, and one request at a time goes to a worker.
 */
public final class CommandDispatcher {
    private static final Logger LOG = LoggerFactory.getLogger(CommandDispatcher.class);

    /**
     * So many requests that carry no command may be on the way at once to machines that have not
     * been heard of yet. A new leader asks all machines; asking hundreds in one go kept it from
     * answering the reports that they sent by themselves, until their leases ran out. Machines that
     * have fallen silent are all asked: when a rack is gone each question takes its whole time, and
     * asked in turns the last ones were known to be dead many seconds after the first.
     */
    private static final int MIN_PROBES = 16;

    /** In a large fleet one machine in so many may be asked at a time. */
    private static final int MACHINES_PER_PROBE = 64;

    /** Unconfirmed commands are sent again so often between two reports. */
    private static final double RESENDS_PER_REPORT = 2;

    /** A refusal shows the session and token to use: the next request follows sooner by this. */
    private static final double SOONER_AFTER_REFUSAL_RATIO = 8;

    private static final int OK = 200;

    /** The worker has seen a higher token, or is in another session. */
    private static final int CONFLICT = 409;

    /** Takes a worker's report. */
    public interface HeartbeatConsumer {
        /** Takes the report that a machine answered to a request. */
        void accept(Machine machine, Heartbeat heartbeat);
    }

    private final Fleet fleet;
    private final HttpClient http;
    private final Timeouts timeouts;
    private final HeartbeatConsumer heartbeats;
    private int probes;
    private boolean closed;

    public CommandDispatcher(
            Fleet fleet, HttpClient http, Timeouts timeouts, HeartbeatConsumer reports) {
        this.fleet = fleet;
        this.http = http;
        this.timeouts = timeouts;
        this.heartbeats = reports;
    }

    /** Sends nothing more, and takes no more answers. */
    public void close() {
        closed = true;
    }

    private double resendIntervalSeconds() {
        return timeouts.heartbeatIntervalSeconds() / RESENDS_PER_REPORT;
    }

    /** Sends what is due to a machine, if anything is. */
    public void requestSend(Machine machine) {
        if (closed || !canBeAsked(machine)) {
            return;
        }
        List<Command> due = machine.epoch() == 0 ? List.of() : due(machine);
        boolean probe = due.isEmpty() && machine.epoch() == 0;
        boolean nothingToAsk = due.isEmpty() && !machine.commandChannel().isStatusRequested();
        if (nothingToAsk || (probe && probes >= maxProbes())) {
            return;
        }
        machine.commandChannel().requestSent();
        probes += probe ? 1 : 0;
        // A worker that has not reported yet is most likely in its first session; if not, its
        // refusal tells.
        long session = Math.max(1, machine.epoch());
        byte[] body = WorkerMessages.encodeCommands(machine.fencingToken(), session, due);
        LOG.debug("{} <- {} token {}", machine.name(), due, machine.fencingToken());
        http.send(
                new HttpClient.Request(
                        machine.address(),
                        "POST",
                        WorkerMessages.COMMANDS_PATH,
                        body,
                        timeouts.commandTimeoutSeconds()),
                reply -> {
                    probes -= probe ? 1 : 0;
                    responseReceived(machine, reply);
                });
    }

    private int maxProbes() {
        return Math.max(MIN_PROBES, fleet.machines().size() / MACHINES_PER_PROBE);
    }

    private boolean canBeAsked(Machine machine) {
        boolean mayRun =
                machine.state() == Machine.State.UP
                        || machine.state() == Machine.State.PROVISIONING;
        return mayRun
                && machine.commandChannel().isReady(fleet.now())
                && !machine.address().isEmpty();
    }

    private void responseReceived(Machine machine, Reply reply) {
        machine.commandChannel().requestEnded();
        if (closed) {
            return;
        }
        if (reply.status() != OK && reply.status() != CONFLICT) {
            LOG.debug("{} gives no answer to orders ({})", machine.name(), reply.status());
            machine.commandsFailed();
            machine.commandChannel().requestStatus();
            machine.commandChannel().pauseUntil(fleet.now() + resendIntervalSeconds());
            return;
        }
        machine.commandsSucceeded();
        acceptHeartbeat(machine, reply);
        if (reply.status() == CONFLICT) {
            double pauseSeconds = resendIntervalSeconds() / SOONER_AFTER_REFUSAL_RATIO;
            machine.commandChannel().pauseUntil(fleet.now() + pauseSeconds);
        }
        requestSend(machine);
    }

    private void acceptHeartbeat(Machine machine, Reply reply) {
        try {
            Heartbeat heartbeat = WorkerMessages.decodeHeartbeat(reply.body());
            if (heartbeat.machine().equals(machine.name())) {
                heartbeats.accept(machine, heartbeat);
            }
        } catch (MalformedMessageException e) {
            LOG.warn("{}: {}", machine.name(), e.getMessage());
        }
    }

    /**
     * The commands that are due now, noting when each is due again. Raises the token where safety
     * asks for it.
     */
    List<Command> due(Machine machine) {
        double now = fleet.now();
        List<TaskAttempt> starts = new ArrayList<>();
        List<Command> commands = new ArrayList<>();
        boolean raiseToken = false;
        for (TaskAttempt attempt : machine.attempts()) {
            if (now < attempt.nextSendAt()) {
                continue;
            }
            switch (attempt.state()) {
                case CLAIMED, SENT -> {
                    if (startIsDue(machine, attempt, now)) {
                        starts.add(attempt);
                    }
                }
                case STOPPING -> {
                    attempt.scheduleResend(now + resendIntervalSeconds());
                    commands.add(stop(attempt));
                    raiseToken |= startMayBeOnTheWay(machine, attempt);
                }
                case UNKNOWN -> {
                    attempt.scheduleResend(now + resendIntervalSeconds());
                    machine.commandChannel().requestStatus();
                    raiseToken |= startMayBeOnTheWay(machine, attempt);
                }
                default -> {}
            }
        }
        raiseToken |= removeUnknownTasks(machine, now, commands);
        if (raiseToken) {
            machine.workerEpoch().raiseFencingToken();
        }
        addStarts(machine, starts, commands);
        return commands;
    }

    private boolean startIsDue(Machine machine, TaskAttempt attempt, double now) {
        boolean sentToEarlierSession =
                attempt.startEpoch() != 0 && attempt.startEpoch() != machine.epoch();
        if (sentToEarlierSession) {
            // Not to be started anew under the same key.
            return false;
        }
        if (attempt.state() == TaskAttempt.State.CLAIMED) {
            attempt.transition(TaskAttempt.State.SENT, now);
        }
        attempt.scheduleResend(now + resendIntervalSeconds());
        return true;
    }

    private static Stop stop(TaskAttempt attempt) {
        return new Stop(attempt.claim().task(), attempt.claim().round(), attempt.graceSeconds());
    }

    /** If so, the attempt's absence proves something only under a higher token. */
    private static boolean startMayBeOnTheWay(Machine machine, TaskAttempt attempt) {
        return attempt.highestStartToken() >= machine.fencingToken();
    }

    /**
     * Adds commands that stop, or forget once they have exited, the reported tasks of which the
     * cluster state knows nothing.
     *
     * @return whether the token has to be raised: once an attempt is forgotten, a start still held
     *     up by the network would run anew, so it is made void first
     */
    private boolean removeUnknownTasks(Machine machine, double now, List<Command> commands) {
        if (!machine.commandChannel().isCleanupDue(now) || machine.reportedTasksAllKnown()) {
            return false;
        }
        boolean raiseToken = false;
        boolean allKnown = true;
        for (TaskStatus task : machine.reportedTasks()) {
            if (machine.find(task) != null) {
                continue;
            }
            allKnown = false;
            machine.commandChannel().postponeCleanupUntil(now + resendIntervalSeconds());
            if (task.state() == TaskState.EXITED) {
                commands.add(new Forget(task.task(), task.attempt()));
                raiseToken = true;
            } else {
                commands.add(new Stop(task.task(), task.attempt(), 0));
            }
        }
        if (allKnown) {
            machine.markReportedTasksKnown();
        }
        return raiseToken;
    }

    /** A machine fetches images in the order of the starts: a small one hardly delays a large. */
    private static void addStarts(
            Machine machine, List<TaskAttempt> starts, List<Command> commands) {
        starts.sort(Comparator.comparingDouble(attempt -> attempt.job().spec().imageGb()));
        for (TaskAttempt attempt : starts) {
            attempt.recordStartSent(machine.fencingToken(), machine.epoch());
            commands.add(new Start(attempt.claim().task(), attempt.claim().round()));
        }
    }
}
