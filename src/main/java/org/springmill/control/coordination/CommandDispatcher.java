package org.springmill.control.coordination;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.springmill.protocol.BadMessageException;
import org.springmill.protocol.WorkerMessages;
import org.springmill.protocol.WorkerMessages.Command;
import org.springmill.protocol.WorkerMessages.Forget;
import org.springmill.protocol.WorkerMessages.Report;
import org.springmill.protocol.WorkerMessages.Start;
import org.springmill.protocol.WorkerMessages.Stop;
import org.springmill.protocol.WorkerMessages.TaskReport;
import org.springmill.protocol.WorkerMessages.TaskState;
import org.springmill.transport.HttpClient;
import org.springmill.transport.HttpClient.Reply;

/**
 * Brings workers to what the clusterState says: commands are derived from the difference between
 * the two each time, never queued, and one request at a time goes to a worker.
 */
final class CommandDispatcher {
    private static final Logger LOG = LoggerFactory.getLogger(CommandDispatcher.class);

    /**
     * So many requests that carry no command may be on the way at once to machines that have not
     * been heard of yet. A new leader asks all machines; asking hundreds in one go kept it from
     * answering the reports that they sent by themselves, until their leases ran out. Machines that
     * have fallen silent are all asked: when a rack is gone each question takes its whole time, and
     * asked in turns the last ones were known to be dead many seconds after the first.
     */
    private static final int MAX_PROBES = 16;

    /** Takes what a worker says of itself. */
    interface ReportTaker {
        void accept(Machine machine, Report report);
    }

    private final Fleet fleet;
    private final HttpClient http;
    private final Timing timing;
    private final ReportTaker reports;
    private int probes;
    private boolean closed;

    CommandDispatcher(Fleet fleet, HttpClient http, Timing timing, ReportTaker reports) {
        this.fleet = fleet;
        this.http = http;
        this.timing = timing;
        this.reports = reports;
    }

    void close() {
        closed = true;
    }

    private double againS() {
        return timing.reportS() / 2;
    }

    /** Sends what is due to a machine, if anything is. */
    void poke(Machine machine) {
        double now = fleet.now();
        boolean reachable =
                machine.state() == Machine.State.UP || machine.state() == Machine.State.EXPECTED;
        if (closed
                || !reachable
                || machine.commandsInFlight
                || now < machine.nextOrders
                || machine.address().isEmpty()) {
            return;
        }
        List<Command> due = machine.session() == 0 ? List.of() : due(machine);
        boolean probe = due.isEmpty() && machine.session() == 0;
        if ((due.isEmpty() && !machine.askAgain) || (probe && probes >= MAX_PROBES)) {
            return;
        }
        machine.askAgain = false;
        machine.commandsInFlight = true;
        probes += probe ? 1 : 0;
        // A worker that has not reported yet is most likely in its first session; if not, its
        // refusal tells.
        long session = Math.max(1, machine.session());
        byte[] body = WorkerMessages.orders(machine.token(), session, due);
        LOG.debug("{} <- {} token {}", machine.name(), due, machine.token());
        http.send(
                new HttpClient.Request(
                        machine.address(),
                        "POST",
                        WorkerMessages.ORDERS,
                        body,
                        timing.orderTimeoutS()),
                reply -> {
                    probes -= probe ? 1 : 0;
                    answered(machine, reply);
                });
    }

    private void answered(Machine machine, Reply reply) {
        machine.commandsInFlight = false;
        if (closed) {
            return;
        }
        if (reply.status() == 200 || reply.status() == 409) {
            machine.ordersWorked();
            try {
                Report report = WorkerMessages.report(reply.body());
                if (report.machine().equals(machine.name())) {
                    reports.accept(machine, report);
                }
            } catch (BadMessageException e) {
                LOG.warn("{}: {}", machine.name(), e.getMessage());
            }
            if (reply.status() == 409) {
                machine.nextOrders = fleet.now() + againS() / 8;
            }
            poke(machine);
        } else {
            LOG.debug("{} gives no answer to orders ({})", machine.name(), reply.status());
            machine.ordersFailed();
            machine.askAgain = true;
            machine.nextOrders = fleet.now() + againS();
        }
    }

    /**
     * The commands that are due now, noting when each is due again. Raises the token where safety
     * asks for it.
     */
    List<Command> due(Machine machine) {
        double now = fleet.now();
        List<Attempt> starts = new ArrayList<>();
        List<Command> others = new ArrayList<>();
        boolean raise = false;
        for (Attempt attempt : machine.attempts()) {
            if (now < attempt.nextSend()) {
                continue;
            }
            switch (attempt.state()) {
                case CLAIMED, SENT -> {
                    if (attempt.session() != 0 && attempt.session() != machine.session()) {
                        // Sent to an earlier session: not to be started anew under the same key.
                        continue;
                    }
                    if (attempt.state() == Attempt.State.CLAIMED) {
                        attempt.transition(Attempt.State.SENT, now);
                    }
                    attempt.sendAgainAt(now + againS());
                    starts.add(attempt);
                }
                case STOPPING -> {
                    attempt.sendAgainAt(now + againS());
                    others.add(
                            new Stop(
                                    attempt.claim().task(),
                                    attempt.claim().round(),
                                    attempt.graceS()));
                    // Its start may still be on the way: only under a higher token does its absence
                    // prove anything.
                    raise |= attempt.exposedToken() >= machine.token();
                }
                case UNKNOWN -> {
                    attempt.sendAgainAt(now + againS());
                    machine.askAgain = true;
                    raise |= attempt.exposedToken() >= machine.token();
                }
                default -> {}
            }
        }
        if (now >= machine.nextStray) {
            for (TaskReport task : machine.reported()) {
                if (machine.find(task) == null) {
                    machine.nextStray = now + againS();
                    if (task.state() == TaskState.EXITED) {
                        others.add(new Forget(task.task(), task.attempt()));
                        // Once forgotten, a start still held up by the network would run anew: void
                        // it first.
                        raise = true;
                    } else {
                        others.add(new Stop(task.task(), task.attempt(), 0));
                    }
                }
            }
        }
        if (raise) {
            machine.raiseToken();
        }
        // A machine fetches images in the order of the starts: a small one hardly delays a large
        // one.
        starts.sort(Comparator.comparingDouble(attempt -> attempt.job().spec().imageGb()));
        for (Attempt attempt : starts) {
            attempt.exposed(machine.token(), machine.session());
            others.add(new Start(attempt.claim().task(), attempt.claim().round()));
        }
        return others;
    }
}
