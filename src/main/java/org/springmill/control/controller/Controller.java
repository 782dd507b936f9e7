package org.springmill.control.controller;

import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.springmill.control.admission.ActiveJobs;
import org.springmill.control.admission.AdmissionControl;
import org.springmill.control.admission.Congestion;
import org.springmill.control.admission.StoreRateShares;
import org.springmill.control.api.SubmissionHandler;
import org.springmill.control.api.UserApi;
import org.springmill.control.cancellation.CancellationEnforcement;
import org.springmill.control.cancellation.LeaderKnowledge;
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
import org.springmill.protocol.PeerMessages.CancellationDelta;
import org.springmill.protocol.PeerMessages.JobProgress;
import org.springmill.protocol.PeerMessages.PeerStatus;
import org.springmill.protocol.PeerMessages.PendingCancellation;
import org.springmill.protocol.Settings;
import org.springmill.transport.EventLoop;
import org.springmill.transport.HttpClient;
import org.springmill.transport.HttpHandler;
import org.springmill.transport.PeerLink;

/**
 * A controller: wires its components, starts them, and has a {@link Leader} while it holds a term
 * of leadership.
 */
public final class Controller implements HttpHandler {
    private static final Logger LOG = LoggerFactory.getLogger(Controller.class);

    /** Validity of a leader's congestion notice, in broadcast intervals. */
    private static final double CONGESTION_VALIDITY_INTERVALS = 3;

    /** Longest wait expected for an accepted submission, as a ratio to the time left to answer. */
    private static final double MAX_EXPECTED_WAIT_RATIO = 0.8;

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
    private final RemoteProgress remoteProgress;
    private final RedirectedWorkers redirectedWorkers;
    private final ActiveJobs activeJobs;
    private final Congestion congestion;
    private final LeaderFactory leaderFactory;
    private final CancellationEnforcement cancellationEnforcement;
    private final Readiness readiness;
    private final RequestRouter router;

    /** Empty unless a retention time of the job history is configured. */
    private final Optional<HistoryMembership> historyMembership;

    /** Empty while this controller does not lead. */
    private Optional<Leader> leader = Optional.empty();

    /**
     * Wires a controller, which sends nothing before {@link #start}.
     *
     * @param settings the operators' settings
     * @param bareLoop runs all code of the controller, one task after the other; like the next two,
     *     not yet wrapped for pause detection
     * @param bareHttp sends requests to the key-value store, the cloud and workers
     * @param bareLink sends messages to the other controllers
     * @param random the source of all random numbers
     * @param heapBytes maximum heap size of this process
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
        HttpClient http = pauseDetector.wrap(bareHttp);
        PeerLink link = pauseDetector.wrap(bareLink);
        Metrics metrics = new Metrics(loop);
        remoteProgress = new RemoteProgress(loop, timeouts);
        redirectedWorkers = new RedirectedWorkers(loop, timeouts);
        store =
                new KeyValueStoreClient(
                        http, loop, settings, timeouts.storeRequestTimeoutSeconds());
        directory = new JobDirectory(store, loop, timeouts, random.nextInt());
        catalog = new MachineTypeCatalog(http, loop, settings);
        StoreRateShares shares = storeRateShares();
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
                new Congestion(timeouts.heartbeatIntervalSeconds() * CONGESTION_VALIDITY_INTERVALS);
        AdmissionControl admission = admissionControl(random, heapBytes);
        historyMembership =
                settings.operator().historyRetentionSeconds().isPresent()
                        ? Optional.of(newHistoryMembership())
                        : Optional.empty();
        ControllerServices services =
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
                        historyMembership);
        leaderFactory = new LeaderFactory(services);
        cancellationEnforcement =
                new CancellationEnforcement(
                        new KnowledgeOfTerm(), store, peers, http, loop, settings, timeouts);
        readiness = new Readiness(directory, catalog, peers, store, loop, timeouts);
        router =
                new RequestRouter(
                        heartbeatEndpoint(),
                        leaseKeepalive,
                        readiness,
                        userApi(admission, metrics),
                        metrics);
        addListeners(metrics);
        ControllerGauges gauges = new ControllerGauges(services);
        gauges.addStoreGauges(cancellationFreshness);
        gauges.addJobGauges(activeJobs, admission, shares);
        gauges.addLeaderGauges(() -> leader);
    }

    private StoreRateShares storeRateShares() {
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

    /** The term that this controller leads under a valid lease; 0 if there is none. */
    private long validTerm() {
        // Still null when the shares are created: Leadership needs Peers, which needs the shares.
        return leadership != null && leadership.mayPlace() ? leadership.term() : 0;
    }

    private AdmissionControl admissionControl(SplittableRandom random, double heapBytes) {
        double answerWithinSeconds =
                JobStatusResponses.RESPONSE_DEADLINE_SECONDS
                        - timeouts.storeRequestTimeoutSeconds();
        return new AdmissionControl(
                loop,
                settings,
                activeJobs,
                congestion,
                random,
                () -> Math.max(0, directory.all().size() - activeJobs.jobCount()),
                settings.limits().heapBytes(heapBytes),
                answerWithinSeconds * MAX_EXPECTED_WAIT_RATIO);
    }

    private HistoryMembership newHistoryMembership() {
        return new HistoryMembership(
                store,
                loop,
                settings.node(),
                settings.peers().keySet(),
                peers::anyWithoutHistory,
                timeouts.workerLeaseSeconds());
    }

    private HeartbeatEndpoint heartbeatEndpoint() {
        return new HeartbeatEndpoint(
                settings.node(),
                leadership,
                directory,
                cancellationFreshness,
                leaseKeepalive,
                redirectedWorkers,
                () -> leader,
                cancellationEnforcement::heartbeatReceived);
    }

    private UserApi userApi(AdmissionControl admission, Metrics metrics) {
        JobStatusResponses responses =
                new JobStatusResponses(this::progressOf, cancellationEnforcement.gate());
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

    private void addListeners(Metrics metrics) {
        pauseDetector.onResume(this::resumed);
        directory.onChange(this::jobRecordChanged);
        directory.onEvict(id -> activeJobs.removeEnded(id, loop.now()));
        peers.onProgressUpdate(remoteProgress::receive);
        peers.onCongestionNotice(congested -> congestion.update(congested.queues(), loop.now()));
        peers.onUnresponsiveLeader(leadership::leaderRefusedConnection);
        store.onCommitAnswered(metrics::recordStoreCommit);
    }

    /** Starts communication with the key-value store, the cloud and the other controllers. */
    public void start() {
        LOG.info("controller {} in zone {} starts", settings.node(), settings.zone());
        pauseDetector.start();
        peers.start();
        // Leadership starts first because workers wait for a leader; reading all jobs takes longer.
        leadership.start();
        catalog.start();
        directory.start();
        cancellationFreshness.start();
        cancellationEnforcement.start();
        historyMembership.ifPresent(HistoryMembership::register);
    }

    /** Discards what this process knew of other processes before it was paused. */
    private void resumed() {
        readiness.resumed();
        directory.processResumed();
        peers.resumed();
        leaseKeepalive.resumed();
        leadership.resumed();
        leader.ifPresent(Leader::resumed);
    }

    @Override
    public void handle(Call call) {
        pauseDetector.beginLoopTurn();
        router.handle(call);
    }

    /** The status sent to the other controllers; {@link Peers} fills in the remaining fields. */
    private PeerStatus status() {
        return new PeerStatus(
                settings.node(),
                0,
                0,
                store.isReachable(),
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

    private void jobRecordChanged(JobRecord record) {
        if (record.active()) {
            activeJobs.add(record.submission());
        } else {
            activeJobs.removeEnded(record.id(), loop.now());
        }
        leader.ifPresent(current -> current.jobRecordChanged(record));
    }

    private JobProgress progressOf(String jobId) {
        return leader.isPresent() ? leader.get().progress(jobId) : remoteProgress.of(jobId);
    }

    /** What this controller knows of tasks during a term of leadership. */
    private final class KnowledgeOfTerm implements LeaderKnowledge {
        @Override
        public boolean isComplete() {
            return leader.filter(Leader::knowsAllTasks).isPresent();
        }

        @Override
        public Optional<List<String>> machinesOfCancelled(String job) {
            return leader.flatMap(current -> current.machinesOfCancelled(job));
        }

        @Override
        public Optional<List<PendingCancellation>> pendingCancellations() {
            return leader.flatMap(Leader::pendingCancellations);
        }
    }

    /**
     * Creates a leader for each term that this controller wins, and closes it at the term's end.
     */
    private final class TermListener implements Leadership.Listener {
        @Override
        public void gained(long term) {
            Leader gained = leaderFactory.create();
            leader = Optional.of(gained);
            gained.start();
        }

        @Override
        public void lost() {
            leader.orElseThrow().close();
            leader = Optional.empty();
        }
    }
}
