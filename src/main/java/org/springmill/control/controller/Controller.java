package org.springmill.control.controller;

import java.util.Locale;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.function.ToDoubleFunction;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.springmill.control.admission.ActiveJobs;
import org.springmill.control.admission.AdmissionControl;
import org.springmill.control.admission.AdmissionReason;
import org.springmill.control.admission.Congestion;
import org.springmill.control.admission.StoreRateShares;
import org.springmill.control.api.SubmissionHandler;
import org.springmill.control.api.UserApi;
import org.springmill.control.cluster.MachineTypeCatalog;
import org.springmill.control.history.HistoryMembership;
import org.springmill.control.jobs.JobDirectory;
import org.springmill.control.jobs.JobStatusResponses;
import org.springmill.control.leadership.Leadership;
import org.springmill.control.leadership.LeaseKeepalive;
import org.springmill.control.membership.CancellationFreshness;
import org.springmill.control.membership.Peers;
import org.springmill.control.membership.RedirectedWorkers;
import org.springmill.control.membership.RemoteProgress;
import org.springmill.control.metrics.Metrics;
import org.springmill.control.storage.JobRecord;
import org.springmill.control.storage.KeyValueStoreClient;
import org.springmill.control.timing.ProcessPauseDetector;
import org.springmill.control.timing.Timeouts;
import org.springmill.protocol.MalformedMessageException;
import org.springmill.protocol.PeerMessages.CancellationDelta;
import org.springmill.protocol.PeerMessages.JobProgress;
import org.springmill.protocol.PeerMessages.PeerStatus;
import org.springmill.protocol.Settings;
import org.springmill.protocol.UserMessages;
import org.springmill.protocol.WorkerMessages;
import org.springmill.protocol.WorkerMessages.Heartbeat;
import org.springmill.transport.EventLoop;
import org.springmill.transport.HttpClient;
import org.springmill.transport.HttpHandler;
import org.springmill.transport.PeerLink;

/**
 * One controller: puts its parts together, passes each HTTP request to the part that answers it,
 * and holds a {@link Leader} while it has the leadership.
 */
public final class Controller implements HttpHandler {
    private static final Logger LOG = LoggerFactory.getLogger(Controller.class);
    private static final byte[] EMPTY = new byte[0];
    private static final String METRICS_PATH = "/metrics";
    private static final int METRICS_RETRY_AFTER_SECONDS = 1;

    /** What the leader said of congestion counts for so many of its intervals. */
    private static final double CONGESTION_VALID_INTERVALS = 3;

    /** Of the time in which a user can still be answered, what a submission may expect to wait. */
    private static final double EXPECTED_WAIT_SHARE = 0.8;

    private final HttpClient http;
    private final EventLoop loop;
    private final Settings settings;
    private final Timeouts timeouts;
    private final KeyValueStoreClient store;
    private final ProcessPauseDetector pauseDetector;
    private final JobDirectory directory;
    private final MachineTypeCatalog catalog;
    private final Peers peers;
    private final Leadership leadership;
    private final CancellationFreshness cancellationFreshness;
    private final LeaseKeepalive leaseKeepalive;
    private final UserApi userApi;
    private final Metrics metrics;
    private final RemoteProgress remoteProgress;
    private final RedirectedWorkers redirectedWorkers;
    private final StoreRateShares shares;
    private final ActiveJobs activeJobs;
    private final Congestion congestion;
    private final AdmissionControl admission;

    /** Empty unless the operators have switched the bounded history on. */
    private final Optional<HistoryMembership> historyMembership;

    private double resumedAt = Double.NEGATIVE_INFINITY;

    /** Null while this controller does not lead. */
    private Leader leader;

    /**
     * Puts a controller together; nothing is sent before {@link #start}.
     *
     * @param heapBytes the largest heap that this process was started with
     */
    public Controller(
            Settings settings,
            EventLoop bareLoop,
            HttpClient bareHttp,
            PeerLink bareLink,
            SplittableRandom random,
            double heapBytes) {
        this.settings = settings;
        timeouts = Timeouts.of(settings);
        pauseDetector = new ProcessPauseDetector(bareLoop, timeouts.pauseThresholdSeconds());
        loop = pauseDetector.wrap(bareLoop);
        http = pauseDetector.wrap(bareHttp);
        PeerLink link = pauseDetector.wrap(bareLink);
        metrics = new Metrics(loop);
        remoteProgress = new RemoteProgress(loop, timeouts);
        redirectedWorkers = new RedirectedWorkers(loop, timeouts);
        store =
                new KeyValueStoreClient(
                        http, loop, settings, timeouts.storeRequestTimeoutSeconds());
        directory = new JobDirectory(store, loop, timeouts, random.nextInt());
        catalog = new MachineTypeCatalog(http, loop, settings);
        shares = stateShares();
        store.useShare(shares);
        peers = new Peers(link, loop, settings, timeouts, directory, shares, this::status);
        cancellationFreshness = new CancellationFreshness(directory, peers, loop, timeouts);
        String incarnation = Long.toHexString(random.nextLong());
        leadership =
                new Leadership(
                        store, loop, settings, timeouts, peers, incarnation, new TermListener());
        leaseKeepalive =
                new LeaseKeepalive(store, peers, leadership, cancellationFreshness, loop, timeouts);
        activeJobs = new ActiveJobs(loop.now());
        congestion =
                new Congestion(timeouts.heartbeatIntervalSeconds() * CONGESTION_VALID_INTERVALS);
        admission = admission(random, heapBytes);
        userApi = userApi();

        historyMembership =
                settings.operator().historyRetentionSeconds().isPresent()
                        ? Optional.of(historyMembers())
                        : Optional.empty();

        pauseDetector.onResume(this::resumed);
        directory.onChange(this::jobChanged);
        directory.onForget(id -> activeJobs.ended(id, loop.now()));
        peers.onProgress(remoteProgress::receive);
        peers.onCongested(congested -> congestion.update(congested.queues(), loop.now()));
        peers.onUnresponsiveLeader(leadership::leaderRefusedConnection);
        store.onCommit(metrics::commitAnswered);
        addGauges();
    }

    private StoreRateShares stateShares() {
        double leaderShare = settings.operator().leaderShare();
        return new StoreRateShares(
                loop,
                this::validTerm,
                leaderShare,
                settings.controllers(),
                timeouts.leaderRenewIntervalSeconds(),
                Timeouts.DRIFT,
                settings.storeLimits().writesPerSecond());
    }

    /** The term that this controller leads, sure of its lease; 0 if there is none. */
    private long validTerm() {
        return leadership != null && leadership.mayPlace() ? leadership.term() : 0;
    }

    private AdmissionControl admission(SplittableRandom random, double heapBytes) {
        double answerWithin =
                JobStatusResponses.ANSWER_WITHIN_SECONDS - timeouts.storeRequestTimeoutSeconds();
        return new AdmissionControl(
                loop,
                settings,
                activeJobs,
                congestion,
                random,
                () -> Math.max(0, directory.all().size() - activeJobs.jobs()),
                settings.limits().heapBytes(heapBytes),
                answerWithin * EXPECTED_WAIT_SHARE);
    }

    private UserApi userApi() {
        JobStatusResponses responses = new JobStatusResponses(this::progressOf);
        SubmissionHandler submissions =
                new SubmissionHandler(
                        directory,
                        store,
                        catalog,
                        loop,
                        timeouts,
                        responses,
                        metrics,
                        admission,
                        activeJobs,
                        settings.operator().pendingSubmissions());
        return new UserApi(
                directory,
                store,
                loop,
                timeouts,
                responses,
                peers::broadcastCancellation,
                submissions);
    }

    private HistoryMembership historyMembers() {
        return new HistoryMembership(
                store,
                loop,
                settings.node(),
                settings.peers().keySet(),
                peers::anyWithoutHistory,
                timeouts.workerLeaseSeconds());
    }

    private void addGauges() {
        metrics.gauge("leading", leadership, l -> l.mayPlace() ? 1 : 0);
        metrics.gauge("state_service_up", store, s -> s.reachable() ? 1 : 0);
        metrics.gauge("state_service_queued_requests", store, KeyValueStoreClient::backlog);
        metrics.gauge(
                "cancellation_staleness_seconds",
                cancellationFreshness,
                CancellationFreshness::ageSeconds);
        metrics.gauge("jobs", directory, d -> d.all().size());
        metrics.gauge("live_jobs", activeJobs, ActiveJobs::jobs);
        metrics.gauge("job_memory_bytes", admission, AdmissionControl::usedBytes);
        metrics.gauge("job_memory_bound_bytes", admission, AdmissionControl::boundBytes);
        metrics.gauge("congested_queues", congestion, c -> c.queues(loop.now()));
        metrics.gauge("state_service_share", shares, StoreRateShares::current);
        for (AdmissionReason reason : AdmissionReason.values()) {
            String name = "submissions_refused_" + reason.name().toLowerCase(Locale.ROOT);
            metrics.counter(name, admission, a -> a.refused(reason));
        }
        metrics.gauge("cancellations", directory, JobDirectory::cancellationCount);
        metrics.gauge("moved_jobs_in_memory", directory, JobDirectory::archivedInMemory);
        addLeaderGauge("job_records_to_move", Leader::recordsToArchive);
        addLeaderGauge("tasks_waiting", Leader::waitingTasks);
        addLeaderGauge("tasks_running", Leader::runningTasks);
        addLeaderGauge("machines_up", Leader::machinesUp);
        addLeaderGauge("machines_late", Leader::overdueBoots);
        addLeaderGauge("rounds_stored", Leader::storedRounds);
    }

    /** Adds a gauge that only a leader has a value for; any other controller shows 0. */
    private void addLeaderGauge(String name, ToDoubleFunction<Leader> value) {
        metrics.gauge(
                name,
                this,
                controller ->
                        controller.leader == null ? 0 : value.applyAsDouble(controller.leader));
    }

    /** Begins to talk to the key-value store, the cloud and the other controllers. */
    public void start() {
        LOG.info("controller {} in {} starts", settings.node(), settings.zone());
        pauseDetector.start();
        peers.start();
        // First who leads, for workers wait for that; reading all jobs takes longer.
        leadership.start();
        catalog.start();
        directory.start();
        cancellationFreshness.start();
        historyMembership.ifPresent(HistoryMembership::register);
    }

    /** This controller stood still: nothing that it knew of others before is known still. */
    private void resumed() {
        resumedAt = loop.now();
        directory.resumed();
        peers.resumed();
        leaseKeepalive.resumed();
        leadership.resumed();
        if (leader != null) {
            leader.resumed();
        }
    }

    @Override
    public void handle(Call call) {
        pauseDetector.beginLoopTurn();
        String path = call.path();
        if (path.equals(WorkerMessages.HEARTBEAT_PATH)) {
            handleReport(call);
            return;
        }
        leaseKeepalive.recordUserRequest();
        if (path.equals(UserMessages.READY)) {
            handleReady(call);
        } else if (isSubmissionPath(path)) {
            userApi.handle(call);
        } else if (path.equals(METRICS_PATH) && call.method().equals("GET")) {
            handleMetrics(call);
        } else {
            reply(call, 404);
        }
    }

    private static boolean isSubmissionPath(String path) {
        return path.equals(UserMessages.SUBMISSIONS)
                || path.startsWith(UserMessages.SUBMISSIONS + "/");
    }

    private static void reply(Call call, int status) {
        call.reply(status, EMPTY, 0);
    }

    private void handleReady(Call call) {
        if (!call.method().equals("GET")) {
            reply(call, 405);
            return;
        }
        reply(call, ready() ? 200 : 503);
    }

    private void handleMetrics(Call call) {
        byte[] text = metrics.read();
        if (text == null) {
            call.reply(429, EMPTY, METRICS_RETRY_AFTER_SECONDS);
        } else {
            call.reply(200, text, 0);
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
        boolean othersAreServed = peers.anyReachesStore();
        return !lacksStateService() || !(othersAreServed || isolated());
    }

    private boolean lacksStateService() {
        double lastServed = Math.max(store.lastServed(), resumedAt);
        return !store.reachable() && loop.now() - lastServed > timeouts.leaderLeaseSeconds() / 2;
    }

    /**
     * Whether nobody was heard of for a whole lease, so that this controller itself is what is cut
     * off. Users whose connections stayed open here would go without an answer for as long as it
     * is, while all others are served.
     */
    private boolean isolated() {
        double lastHeard = Math.max(store.lastServed(), peers.lastHeardAt());
        return loop.now() - Math.max(lastHeard, resumedAt) > timeouts.workerLeaseSeconds();
    }

    /** What this controller tells the others of itself; {@link Peers} fills in the numbers. */
    private PeerStatus status() {
        return new PeerStatus(
                settings.node(),
                0,
                0,
                store.reachable(),
                leadership.mayRespondToWorkers(),
                leadership.hasReadLeaderRecord(),
                redirectedWorkers.count(),
                false,
                0,
                leadership.knownTerm(),
                CancellationDelta.NONE,
                historyMembership.isPresent(),
                0);
    }

    private void handleReport(Call call) {
        if (!call.method().equals("POST")) {
            reply(call, 405);
            return;
        }
        Heartbeat heartbeat;
        try {
            heartbeat = WorkerMessages.decodeHeartbeat(call.body());
        } catch (MalformedMessageException e) {
            call.reply(400, UserMessages.error(e.getMessage()), 0);
            return;
        }
        boolean mayLead = leader != null && leadership.mayRespondToWorkers();
        if (mayLead && cancellationFreshness.isFresh()) {
            leader.respondToHeartbeat(call, heartbeat);
        } else if (leaseKeepalive.mayRenewLease(heartbeat, leader != null)) {
            renewLease(call, heartbeat);
        } else {
            sendAway(call, heartbeat);
        }
    }

    /**
     * Renews a worker's lease under its own token. The only commands are stops of cancelled tasks,
     * for whoever renews a lease may not leave those running.
     */
    private void renewLease(Call call, Heartbeat heartbeat) {
        byte[] answer =
                WorkerMessages.encodeHeartbeatResponse(
                        heartbeat.fencingToken(), directory.stopCommandsFor(heartbeat));
        call.reply(200, answer, 0);
    }

    private void sendAway(Call call, Heartbeat heartbeat) {
        // Only workers sent away count. With those whose lease was just renewed, a leader that
        // could
        // not be reached during a partition would seem to have lost them once it is over.
        redirectedWorkers.add(heartbeat.machine());
        String leadingNode = leadership.leader();
        if (leadingNode == null || leadingNode.equals(settings.node())) {
            reply(call, 503);
        } else {
            call.reply(421, WorkerMessages.encodeRedirect(leadingNode), 0);
        }
    }

    private void jobChanged(JobRecord job) {
        if (job.active()) {
            activeJobs.add(job.submission());
        } else {
            activeJobs.ended(job.id(), loop.now());
        }
        if (leader != null) {
            leader.jobRecordChanged(job);
        }
    }

    private JobProgress progressOf(String jobId) {
        return leader != null ? leader.progress(jobId) : remoteProgress.of(jobId);
    }

    /** Makes a leader for each term that this controller wins, and closes it when the term ends. */
    private final class TermListener implements Leadership.Listener {
        @Override
        public void gained(long term) {
            leader =
                    new LeaderFactory(
                                    new ControllerServices(
                                            store,
                                            http,
                                            loop,
                                            settings,
                                            timeouts,
                                            leadership,
                                            directory,
                                            peers,
                                            catalog,
                                            metrics,
                                            congestion,
                                            historyMembership))
                            .create();
            leader.start();
        }

        @Override
        public void lost() {
            leader.close();
            leader = null;
        }
    }
}
