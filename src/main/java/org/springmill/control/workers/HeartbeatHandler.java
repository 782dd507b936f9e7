package org.springmill.control.workers;

import java.util.List;
import org.springmill.control.cluster.Fleet;
import org.springmill.control.cluster.Machine;
import org.springmill.control.jobs.JobDirectory;
import org.springmill.control.timing.Timeouts;
import org.springmill.protocol.WorkerMessages;
import org.springmill.protocol.WorkerMessages.Command;
import org.springmill.protocol.WorkerMessages.Heartbeat;
import org.springmill.transport.EventLoop;
import org.springmill.transport.HttpHandler.Call;

/** Answers the heartbeats of workers for a leader, from the beginning of its term. */
public final class HeartbeatHandler {
    private static final int OK = 200;
    private static final int MISDIRECTED = 421;
    private static final int UNAVAILABLE = 503;

    /** Time between answers to heartbeats without a token that may be duplicates, in leases. */
    private static final double TOKEN_ANSWER_INTERVAL_LEASES = 2;

    private final Fleet fleet;
    private final Reconciliation reconciliation;
    private final CommandDispatcher dispatcher;
    private final JobDirectory directory;
    private final EventLoop loop;
    private final Timeouts timeouts;
    private final TermStatus term;

    /** The phase of the leader's term. */
    public interface TermStatus {
        /** Whether the cluster state is recovered and the term has not ended. */
        boolean isActive();

        /** Whether the term has ended. */
        boolean isClosed();
    }

    /**
     * Makes the handler of one term.
     *
     * @param fleet the machines of this term
     * @param reconciliation receives each heartbeat once the term is active
     * @param dispatcher sends commands, which are derived from the state after each heartbeat
     * @param directory provides stop commands for cancelled tasks before the term is active
     * @param loop provides the time
     * @param timeouts the duration of a worker's lease
     * @param term the phase of the term
     */
    public HeartbeatHandler(
            Fleet fleet,
            Reconciliation reconciliation,
            CommandDispatcher dispatcher,
            JobDirectory directory,
            EventLoop loop,
            Timeouts timeouts,
            TermStatus term) {
        this.fleet = fleet;
        this.reconciliation = reconciliation;
        this.dispatcher = dispatcher;
        this.directory = directory;
        this.loop = loop;
        this.timeouts = timeouts;
        this.term = term;
    }

    /** Answers a worker's heartbeat; 200 renews the worker's lease. */
    public void respond(Call call, Heartbeat heartbeat) {
        if (fleet.wasDeleted(heartbeat.machine())) {
            // A delayed duplicate. It would add the machine again, and work would be placed there
            // that waits until the machine is found to be gone.
            refuse(call, UNAVAILABLE);
            return;
        }
        Machine machine = fleet.getOrAdd(heartbeat);
        boolean isOfNewProcess = reconciliation.noticesRestart(machine, heartbeat);
        if (!isOfNewProcess && !machine.workerEpoch().isLatestHeartbeat(heartbeat)) {
            respondToEarlier(call, machine, heartbeat);
            return;
        }
        if (machine.workerEpoch().hasLostToken(heartbeat)) {
            dispatcher.checkProcess(machine, heartbeat);
        }
        if (term.isActive()) {
            reconciliation.acceptHeartbeat(machine, heartbeat);
        }
        // A heartbeat that shows a later term ends this one.
        if (term.isClosed()) {
            refuse(call, MISDIRECTED);
            return;
        }
        renewLease(call, machine, heartbeat);
        if (term.isActive()) {
            dispatcher.requestSend(machine);
        }
    }

    /**
     * Answers a heartbeat that is not the latest. Either it is a delayed duplicate: the worker no
     * longer waits for the response, so it must not count as a renewal. Or the worker has a new
     * process, which a request shows. A new process without a token would obey late copies of any
     * command, so it gets one at once. That counts as a renewal, and is done so seldom that the
     * lease of a machine that is gone expires all the same.
     */
    private void respondToEarlier(Call call, Machine machine, Heartbeat heartbeat) {
        double intervalSeconds = TOKEN_ANSWER_INTERVAL_LEASES * timeouts.workerLeaseSeconds();
        dispatcher.checkProcess(machine, heartbeat);
        if (heartbeat.fencingToken() == 0
                && machine.commandChannel()
                        .tokenAnswers()
                        .tryAcquire(loop.now(), intervalSeconds)) {
            answer(call, machine, List.of());
        } else {
            refuse(call, UNAVAILABLE);
        }
    }

    private static void refuse(Call call, int status) {
        call.reply(status, WorkerMessages.encodeRedirect(null), 0);
    }

    private void renewLease(Call call, Machine machine, Heartbeat heartbeat) {
        machine.workerEpoch().recordHeartbeat(heartbeat);
        // The commands may raise the fencing token, so they are derived before it is read.
        answer(call, machine, commandsFor(machine, heartbeat));
    }

    private void answer(Call call, Machine machine, List<Command> commands) {
        machine.liveness().heartbeatAnswered(loop.now(), timeouts.workerLeaseSeconds());
        byte[] response = WorkerMessages.encodeHeartbeatResponse(machine.fencingToken(), commands);
        call.reply(OK, response, 0);
    }

    /**
     * The commands in the response to a heartbeat: before recovery the stops of cancelled tasks,
     * afterwards all due commands if requests to the worker fail.
     */
    private List<Command> commandsFor(Machine machine, Heartbeat heartbeat) {
        if (!term.isActive()) {
            return directory.stopCommandsFor(heartbeat);
        }
        boolean requestsFail =
                machine.areCommandsFailing() && !machine.commandChannel().isRequestInFlight();
        boolean isSameEpoch = heartbeat.epoch() == machine.epoch();
        return requestsFail && isSameEpoch ? dispatcher.dueCommands(machine) : List.of();
    }
}
