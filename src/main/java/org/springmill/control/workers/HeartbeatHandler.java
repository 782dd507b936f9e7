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

/** Answers the reports of workers for a leader, from the first moment of its term. */
public final class HeartbeatHandler {
    private final Fleet fleet;
    private final Reconciliation reconciliation;
    private final CommandDispatcher dispatcher;
    private final JobDirectory directory;
    private final EventLoop loop;
    private final Timeouts timeouts;
    private final TermStatus term;

    /** How far the leader's term is. */
    public interface TermStatus {
        /** Whether the cluster state is recovered and the term has not ended. */
        boolean isActive();

        /** Whether the term has ended. */
        boolean isClosed();
    }

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

    /** Answers a worker's report. */
    public void respond(Call call, Heartbeat heartbeat) {
        if (fleet.wasDeleted(heartbeat.machine())) {
            // A late copy. The machine that it seemed to bring back was given work, which waited
            // until it was missed.
            call.reply(503, WorkerMessages.encodeRedirect(null), 0);
            return;
        }
        Machine machine = fleet.machine(heartbeat);
        if (!machine.workerEpoch().isLatestHeartbeat(heartbeat)) {
            // A late copy: whoever sent it waits no longer, and its answer must not count as a
            // renewal.
            call.reply(503, WorkerMessages.encodeRedirect(null), 0);
            return;
        }
        if (term.isActive()) {
            reconciliation.accept(machine, heartbeat);
        }
        if (term.isClosed()) {
            call.reply(421, WorkerMessages.encodeRedirect(null), 0);
            return;
        }
        machine.workerEpoch().recordHeartbeat(heartbeat);
        machine.heartbeatAnswered(loop.now(), timeouts.workerLeaseSeconds());
        List<Command> commands = term.isActive() ? List.of() : directory.stopCommandsFor(heartbeat);
        if (term.isActive()
                && machine.commandsFailing()
                && !machine.commandChannel().isRequestInFlight()
                && heartbeat.epoch() == machine.epoch()) {
            commands = dispatcher.due(machine);
        }
        call.reply(
                200, WorkerMessages.encodeHeartbeatResponse(machine.fencingToken(), commands), 0);
        if (term.isActive()) {
            dispatcher.requestSend(machine);
        }
    }
}
