package org.springmill.control.coordination;

import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.springmill.control.storage.JobRecord;
import org.springmill.control.storage.StateStore;
import org.springmill.protocol.BadMessageException;
import org.springmill.protocol.PeerMessages.JobProgress;
import org.springmill.protocol.PeerMessages.News;
import org.springmill.protocol.PeerMessages.Progress;
import org.springmill.protocol.PeerMessages.Status;
import org.springmill.protocol.Settings;
import org.springmill.protocol.UserMessages;
import org.springmill.protocol.WorkerMessages;
import org.springmill.protocol.WorkerMessages.Report;
import org.springmill.transport.HttpClient;
import org.springmill.transport.HttpHandler;
import org.springmill.transport.Loop;
import org.springmill.transport.PeerLink;

/** One controller: answers users and workers, and leads when it holds the leadership. */
public final class Controller implements HttpHandler {
    private static final Logger LOG = LoggerFactory.getLogger(Controller.class);
    private static final byte[] EMPTY = new byte[0];
    private static final String METRICS = "/metrics";

    private final Loop loop;
    private final Settings settings;
    private final Timing timing;
    private final StateStore store;
    private final JobDirectory directory;
    private final MachineTypeCatalog catalog;
    private final Peers peers;
    private final Leadership leadership;
    private final CancellationFreshness horizon;
    private final LeaseKeepalive standIn;
    private final UserApi users;
    private final Metrics metrics;
    private Map<String, JobProgress> progress = new HashMap<>();
    private final Map<String, Double> strayWorkers = new HashMap<>();
    private double progressAt;
    private Leader leader;

    public Controller(
            Settings settings, Loop loop, HttpClient http, PeerLink link, SplittableRandom random) {
        this.settings = settings;
        this.loop = loop;

        timing = Timing.of(settings);
        metrics = new Metrics(loop);
        store = new StateStore(http, loop, settings, timing.stateTimeoutS());
        directory = new JobDirectory(store, loop, timing, random.nextInt());
        catalog = new MachineTypeCatalog(http, loop, settings);
        peers = new Peers(link, loop, settings, timing, directory, this::status);
        horizon = new CancellationFreshness(directory, peers, loop, timing);
        String incarnation = Long.toHexString(random.nextLong());
        leadership =
                new Leadership(
                        store,
                        loop,
                        settings,
                        timing,
                        peers,
                        incarnation,
                        new Leadership.Listener() {
                            @Override
                            public void gained(long term) {
                                leader =
                                        new Leader(
                                                store,
                                                http,
                                                loop,
                                                settings,
                                                timing,
                                                leadership,
                                                directory,
                                                peers,
                                                catalog,
                                                metrics);
                                leader.start();
                            }

                            @Override
                            public void lost() {
                                leader.close();
                                leader = null;
                            }
                        });
        standIn = new LeaseKeepalive(store, peers, leadership, horizon, loop, timing);
        users =
                new UserApi(
                        directory,
                        store,
                        catalog,
                        loop,
                        timing,
                        this::progressOf,
                        peers::tell,
                        metrics,
                        settings.operator().pendingSubmissions());
        directory.onChange(this::jobChanged);
        peers.onProgress(this::progressReceived);
        peers.onSilentRefusal(leadership::leaderRefuses);
        store.onCommit(metrics::committed);
        metrics.gauge("leading", leadership, l -> l.mayPlace() ? 1 : 0);
        metrics.gauge("state.reachable", store, s -> s.reachable() ? 1 : 0);
        metrics.gauge("state.backlog", store, StateStore::backlog);
        metrics.gauge("cancellations.age", horizon, CancellationFreshness::age);
        metrics.gauge("jobs.known", directory, d -> d.all().size());
        metrics.gauge("tasks.waiting", this, c -> c.leader == null ? 0 : c.leader.waitingTasks());
        metrics.gauge("tasks.running", this, c -> c.leader == null ? 0 : c.leader.runningTasks());
        metrics.gauge("machines.up", this, c -> c.leader == null ? 0 : c.leader.machinesUp());
        metrics.gauge("rounds.kept", this, c -> c.leader == null ? 0 : c.leader.roundsKept());
    }

    public void start() {
        LOG.info("controller {} in {} starts", settings.node(), settings.zone());
        peers.start();
        // First who leads, for workers wait for that; reading all jobs takes longer.
        leadership.start();
        catalog.start();
        directory.start();
        horizon.start();
    }

    @Override
    public void handle(Call call) {
        String path = call.path();
        if (!path.equals(WorkerMessages.REPORT)) {
            standIn.reachedByUsers();
        }
        if (path.equals(WorkerMessages.REPORT)) {
            if (call.method().equals("POST")) {
                report(call);
            } else {
                call.reply(405, EMPTY, 0);
            }
        } else if (path.equals(UserMessages.READY)) {
            if (call.method().equals("GET")) {
                call.reply(ready() ? 200 : 503, EMPTY, 0);
            } else {
                call.reply(405, EMPTY, 0);
            }
        } else if (path.equals(UserMessages.SUBMISSIONS)
                || path.startsWith(UserMessages.SUBMISSIONS + "/")) {
            users.handle(call);
        } else if (path.equals(METRICS) && call.method().equals("GET")) {
            byte[] read = metrics.read();
            call.reply(read == null ? 429 : 200, read == null ? EMPTY : read, read == null ? 1 : 0);
        } else {
            call.reply(404, EMPTY, 0);
        }
    }

    /**
     * Whether users should be sent here. In an outage that every controller sees they may as well
     * stay: going away would only add the balancer's pause to the outage.
     */
    private boolean ready() {
        if (!directory.loaded() || !catalog.known()) {
            return false;
        }
        boolean cutOff =
                !store.reachable() && loop.now() - store.lastServed() > timing.leaderTtlS() / 2;
        // One that has heard of nobody for a whole lease is itself what is cut off. Users whose
        // connections stayed open
        // there went without an answer for as long as it was, while all others were served.
        boolean alone =
                loop.now() - Math.max(store.lastServed(), peers.lastHeard()) > timing.leaseS();
        return !(cutOff && (peers.someReachState() || alone));
    }

    private Status status() {
        double since = loop.now() - 2 * timing.quietS();
        strayWorkers.values().removeIf(at -> at < since);
        return new Status(
                settings.node(),
                0,
                0,
                store.reachable(),
                leadership.mayAnswer(),
                leadership.informed(),
                strayWorkers.size(),
                false,
                0,
                leadership.knownTerm(),
                News.NONE);
    }

    private void report(Call call) {
        Report report;
        try {
            report = WorkerMessages.report(call.body());
        } catch (BadMessageException e) {
            call.reply(400, UserMessages.error(e.getMessage()), 0);
            return;
        }
        if (leader != null && leadership.mayAnswer() && horizon.covers()) {
            leader.report(call, report);
            return;
        }
        if (standIn.keeps(report, leader != null)) {
            // Ordering nothing but an end that is final: whoever renews a lease may not leave
            // cancelled tasks alone.
            call.reply(
                    200,
                    WorkerMessages.reportAnswer(report.token(), directory.stopsFor(report)),
                    0);
            return;
        }
        // Not those kept just now: after a cut they would seem to be lost to a leader that merely
        // could not be reached.
        strayWorkers.put(report.machine(), loop.now());
        String leads = leadership.leader();
        if (leads != null && !leads.equals(settings.node())) {
            call.reply(421, WorkerMessages.redirect(leads), 0);
        } else {
            call.reply(503, EMPTY, 0);
        }
    }

    private void jobChanged(JobRecord job) {
        if (leader != null) {
            leader.jobChanged(job);
        }
    }

    private JobProgress progressOf(String id) {
        return leader != null ? leader.progress(id) : progress.get(id);
    }

    private void progressReceived(Progress received) {
        if (loop.now() - progressAt > timing.reportS() * 4) {
            progress = new HashMap<>();
        }
        progressAt = loop.now();
        received.jobs().forEach(p -> progress.put(p.job(), p));
    }
}
