package org.springmill.control.controller;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.springmill.control.admission.Congestion;
import org.springmill.control.admission.QueueWaits;
import org.springmill.control.autoscaling.ArrivalRateEstimator;
import org.springmill.control.autoscaling.Autoscaler;
import org.springmill.control.borrowing.RecallLog;
import org.springmill.control.cluster.ClusterState;
import org.springmill.control.cluster.DependencyPriority;
import org.springmill.control.cluster.Fleet;
import org.springmill.control.cluster.Job;
import org.springmill.control.cluster.Machine;
import org.springmill.control.cluster.MachineTypeCatalog;
import org.springmill.control.cluster.TaskAttempt;
import org.springmill.control.history.HistoryArchiver;
import org.springmill.control.history.HistoryMembership;
import org.springmill.control.jobs.JobDirectory;
import org.springmill.control.leadership.Leadership;
import org.springmill.control.membership.Peers;
import org.springmill.control.membership.WorkloadBroadcast;
import org.springmill.control.metrics.Metrics;
import org.springmill.control.recall.RecallSetup;
import org.springmill.control.scheduling.CapacityFilter;
import org.springmill.control.scheduling.ImmediatePreemption;
import org.springmill.control.scheduling.Placement;
import org.springmill.control.scheduling.PlacementRounds;
import org.springmill.control.scheduling.PreemptionPolicy;
import org.springmill.control.storage.JobRecord;
import org.springmill.control.storage.KeyValueStoreClient;
import org.springmill.control.storage.RoundLog;
import org.springmill.control.timing.Timeouts;
import org.springmill.control.workers.CommandDispatcher;
import org.springmill.control.workers.HeartbeatHandler;
import org.springmill.control.workers.Reconciliation;
import org.springmill.protocol.PeerMessages.JobProgress;
import org.springmill.protocol.Settings;
import org.springmill.protocol.UserMessages.JobPhase;
import org.springmill.protocol.WorkerMessages.Heartbeat;
import org.springmill.transport.EventLoop;
import org.springmill.transport.HttpClient;
import org.springmill.transport.HttpHandler.Call;

/**
 * One term of leadership: everything a leader knows, rebuilt at its start and thrown away at its
 * end.
 */
final class Leader {
    private static final Logger LOG = LoggerFactory.getLogger(Leader.class);

    private final KeyValueStoreClient store;
    private final EventLoop loop;
    private final Settings settings;
    private final Timeouts timeouts;
    private final Leadership leadership;
    private final JobDirectory directory;
    private final Peers peers;
    private final MachineTypeCatalog catalog;
    private final ClusterState clusterState;
    private final Fleet fleet;
    private final RoundLog log;
    private final CommandDispatcher dispatcher;
    private final Reconciliation reconciliation;
    private final PreemptionPolicy preemption;
    private final PlacementRounds rounds;
    private final Autoscaler autoscaler;
    private final ArrivalRateEstimator arrivalRates;
    private final CancellationPersister cancellationPersister;
    private final DependencyPriority dependencyPriority;
    private final WorkloadBroadcast broadcast;
    private final ImageLocationPersister imageLocationPersister;
    private final JobCompletion jobCompletion;
    private final HeartbeatHandler heartbeatHandler;

    /** Empty unless the operators have switched the bounded history on. */
    private final Optional<HistoryArchiver> historyArchiver;

    private boolean rebuilt;
    private boolean closed;

    Leader(
            KeyValueStoreClient store,
            HttpClient http,
            EventLoop loop,
            Settings settings,
            Timeouts timeouts,
            Leadership leadership,
            JobDirectory directory,
            Peers peers,
            MachineTypeCatalog catalog,
            Metrics metrics,
            Congestion congestion,
            Optional<HistoryMembership> historyMembership) {
        this.store = store;
        this.loop = loop;
        this.settings = settings;
        this.timeouts = timeouts;
        this.leadership = leadership;
        this.directory = directory;
        this.peers = peers;
        this.catalog = catalog;
        clusterState = new ClusterState(settings);
        fleet =
                new Fleet(
                        clusterState,
                        catalog,
                        loop,
                        timeouts,
                        leadership.term(),
                        settings.operator().bootPatience());
        log =
                new RoundLog(
                        store,
                        loop,
                        leadership.termCondition(),
                        id -> clusterState.job(id) != null && clusterState.job(id).active(),
                        settings.limits().cpuShare(),
                        settings.operator().borrowing().isPresent()
                                ? RecallLog.reserve(settings.storeLimits())
                                : RoundLog.Reserve.NONE);
        reconciliation =
                new Reconciliation(
                        fleet, timeouts, peers, metrics, this::requestRound, leadership::stepDown);
        dispatcher = new CommandDispatcher(fleet, http, timeouts, reconciliation::accept);
        heartbeatHandler =
                new HeartbeatHandler(
                        fleet,
                        reconciliation,
                        dispatcher,
                        directory,
                        loop,
                        timeouts,
                        new HeartbeatHandler.Term() {
                            @Override
                            public boolean rebuilt() {
                                return rebuilt;
                            }

                            @Override
                            public boolean closed() {
                                return closed;
                            }
                        });
        Optional<RecallSetup> borrowing =
                settings.operator()
                        .borrowing()
                        .map(terms -> new RecallSetup(fleet, loop, timeouts, terms, metrics));
        Placement placement =
                new Placement(
                        fleet,
                        timeouts,
                        borrowing
                                .<CapacityFilter>map(RecallSetup::withheld)
                                .orElse(CapacityFilter.NONE));
        preemption =
                borrowing
                        .<PreemptionPolicy>map(
                                setup -> setup.recalls(store, placement, dispatcher::requestSend))
                        .orElseGet(() -> new ImmediatePreemption(fleet, placement, timeouts));
        rounds =
                new PlacementRounds(
                        fleet,
                        placement,
                        preemption,
                        log,
                        leadership,
                        loop,
                        4 / settings.storeLimits().writesPerSecond(),
                        new PlacementRounds.Listener() {
                            @Override
                            public void committed(
                                    List<TaskAttempt> claimed,
                                    List<TaskAttempt> ended,
                                    double since) {
                                metrics.roundCommitted(since, claimed.size(), ended.size());
                                roundCommitted(claimed, ended);
                            }

                            @Override
                            public void lost() {
                                leadership.stepDown("a round was refused");
                            }
                        });
        broadcast =
                new WorkloadBroadcast(
                        clusterState,
                        peers,
                        congestion,
                        queueWaits(settings),
                        loop,
                        settings.node(),
                        fleet.term(),
                        timeouts.heartbeatIntervalSeconds());
        imageLocationPersister =
                new ImageLocationPersister(
                        store, fleet, leadership, loop, timeouts.workerLeaseSeconds());
        jobCompletion =
                new JobCompletion(
                        store,
                        directory,
                        clusterState,
                        leadership,
                        loop,
                        timeouts,
                        settings.skewSeconds());
        arrivalRates = new ArrivalRateEstimator(settings, loop.now());
        dependencyPriority = new DependencyPriority(directory, clusterState);
        cancellationPersister = new CancellationPersister(store, directory, leadership, loop);
        historyArchiver = historyMembership.map(membership -> historyMover(membership, metrics));
        autoscaler =
                new Autoscaler(
                        fleet,
                        placement,
                        arrivalRates,
                        peers,
                        http,
                        loop,
                        settings,
                        timeouts,
                        this::requestRound);
    }

    private static Optional<QueueWaits> queueWaits(Settings settings) {
        OptionalDouble maxWait = settings.operator().maxWaitSeconds();
        return maxWait.isPresent()
                ? Optional.of(new QueueWaits(maxWait.getAsDouble()))
                : Optional.empty();
    }

    private HistoryArchiver historyMover(HistoryMembership membership, Metrics metrics) {
        return new HistoryArchiver(
                store,
                loop,
                membership,
                new ArchivableJobs(directory, clusterState, leadership, metrics),
                settings.operator().historyRetentionSeconds().getAsDouble(),
                timeouts.workerLeaseSeconds());
    }

    void close() {
        closed = true;
        historyArchiver.ifPresent(HistoryArchiver::close);
        log.close();
        dispatcher.close();
        rounds.close();
        broadcast.close();
        imageLocationPersister.close();
        jobCompletion.close();
        autoscaler.close();
        cancellationPersister.close();
    }

    /**
     * Rebuilds what earlier leaders committed. Reports are answered from the first moment, to keep
     * leases alive.
     */
    void start() {
        directory.barrier(
                current -> {
                    if (closed) {
                        return;
                    }
                    if (!current || !catalog.known()) {
                        loop.after(timeouts.peerPollIntervalSeconds(), this::start);
                        return;
                    }
                    log.load(
                            found -> {
                                if (closed) {
                                    return;
                                }
                                if (found == null) {
                                    loop.after(timeouts.peerPollIntervalSeconds(), this::start);
                                    return;
                                }
                                loadRecalls(found);
                            });
                });
    }

    private void loadRecalls(RoundLog.Rebuilt found) {
        preemption.load(
                read -> {
                    if (closed) {
                        return;
                    }
                    if (!read) {
                        loop.after(timeouts.peerPollIntervalSeconds(), this::start);
                        return;
                    }
                    rebuild(found);
                });
    }

    private void rebuild(RoundLog.Rebuilt found) {
        ClusterStateRecovery recovery =
                new ClusterStateRecovery(directory, clusterState, fleet, jobCompletion, loop);
        List<JobRecord> active = recovery.activeJobs();
        recovery.endedJobs()
                .forEach(record -> historyArchiver.ifPresent(archiver -> archiver.ended(record)));
        active.forEach(record -> admit(recovery.job(record, found), false));
        found.live().forEach(recovery::adopt);
        preemption.stateRecovered();
        rebuilt = true;
        LOG.info(
                "term {}: {} active jobs, {} claims in {} rounds",
                fleet.term(),
                active.size(),
                found.live().size(),
                log.kept());
        autoscaler.start(log.kept() == 0);
        for (Machine machine : fleet.machinesNow()) {
            machine.commandChannel().requestStatus();
            dispatcher.requestSend(machine);
        }
        for (Job job : new ArrayList<>(clusterState.jobs().values())) {
            jobCompletion.finishIfComplete(job);
        }
        rounds.request();
        tick();
        broadcast.start();
        cancellationPersister.run();
        historyArchiver.ifPresent(HistoryArchiver::start);
        imageLocationPersister.start();
    }

    private void tick() {
        if (closed) {
            return;
        }
        loop.after(timeouts.heartbeatIntervalSeconds() / 8, this::tick);
        leadership.state();
        if (closed) {
            return;
        }
        // Whoever holds the term, sure of it or not, may be the only one who knows where cancelled
        // tasks are.
        for (Machine machine : jobCompletion.machinesWithOverdueTasks()) {
            autoscaler.release(machine, "a cancelled task on it cannot be stopped");
        }
        if (!leadership.mayRespondToWorkers()) {
            return;
        }
        resignIfCutOff();
        if (closed) {
            return;
        }
        reconciliation.tick();
        dependencyPriority.settle();
        for (Machine machine : fleet.machinesNow()) {
            if (machine.state() == Machine.State.UP
                    && loop.now() - machine.lastHeartbeatAt() > timeouts.probeAfterSeconds()) {
                machine.commandChannel().requestStatus();
            }
            dispatcher.requestSend(machine);
            if (machine.state() == Machine.State.TERMINATED && machine.attempts().isEmpty()) {
                fleet.forget(machine);
            }
        }
        if (leadership.mayPlace()) {
            autoscaler.tick();
            rounds.request();
        }
    }

    /**
     * A leader that no longer hears many of its workers, while another controller does, is the one
     * that is cut off: their leases would run out under it although the key-value store sees
     * nothing wrong with it. Machines that never heard it are none that it has lost: while some
     * were deaf, wandering from one controller to the next, each new leader gave way in its turn,
     * and none was in office for long enough to replace them.
     */
    private void resignIfCutOff() {
        double now = loop.now();
        int up = 0;
        int silent = 0;
        for (Machine machine : fleet.machines()) {
            if (machine.state() == Machine.State.UP && machine.hasSeenCurrentTerm()) {
                up++;
                silent += now - machine.lastHeartbeatAt() > timeouts.suspectAfterSeconds() ? 1 : 0;
            }
        }
        if (silent >= Math.max(2, up / 4)
                && peers.workersRedirectedByPeers() >= Math.max(2, silent / 2)) {
            leadership.resign(silent + " of " + up + " workers report elsewhere");
        }
    }

    /** Notes that this controller stood still: what it did not read meanwhile was no silence. */
    void resumed() {
        autoscaler.resumed();
    }

    private void requestRound() {
        if (!closed && rebuilt) {
            rounds.request();
        }
    }

    /** A job record has changed, here or at another controller. */
    void jobChanged(JobRecord record) {
        if (closed || !rebuilt) {
            return;
        }
        if (record.phase() == JobPhase.DONE) {
            releaseDependents(record);
        }
        if (!record.active()) {
            historyArchiver.ifPresent(archiver -> archiver.ended(record));
        }
        Job job = clusterState.job(record.id());
        if (job == null) {
            if (record.active()) {
                admit(new Job(record.submission(), record.version()), true);
            }
            return;
        }
        if (record.active()) {
            // What it waited for turned out to be done long ago.
            releaseIfReady(job);
        }
        if (!record.active() && job.active()) {
            job.end(record.phase(), record.version(), jobCompletion.endedSince(record));
            dependencyPriority.changed(job);
            for (TaskAttempt attempt : job.attempts()) {
                fleet.stop(attempt, 0);
                dispatcher.requestSend(attempt.machine());
            }
            jobCompletion.dropIfOver(job);
            rounds.request();
        }
    }

    /**
     * @param counted whether the job came just now, rather than being read back from storage
     */
    private void admit(Job job, boolean counted) {
        clusterState.add(job);
        dependencyPriority.changed(job);
        if (job.waitsForOthers() && directory.dependencies().ready(job.spec())) {
            job.becomeEligible(directory.dependencies().readySince(job.spec()));
        }
        if (job.eligible()) {
            arrivalRates.arrived(job.spec(), loop.now(), counted);
            rounds.request();
        }
    }

    /**
     * The jobs of which this was the last one needed are placed in the next round, not found by
     * some later tick.
     */
    private void releaseDependents(JobRecord done) {
        for (String id : directory.dependencies().dependents(done.id())) {
            Job dependent = clusterState.job(id);
            if (dependent != null) {
                releaseIfReady(dependent);
            }
        }
    }

    private void releaseIfReady(Job job) {
        if (job.waitsForOthers() && directory.dependencies().ready(job.spec())) {
            job.becomeEligible(directory.dependencies().readySince(job.spec()));
            arrivalRates.arrived(job.spec(), loop.now(), true);
            rounds.request();
        }
    }

    private void roundCommitted(List<TaskAttempt> claimed, List<TaskAttempt> ended) {
        broadcast.placed(claimed);
        for (TaskAttempt attempt : claimed) {
            dispatcher.requestSend(attempt.machine());
        }
        for (TaskAttempt attempt : ended) {
            dispatcher.requestSend(attempt.machine());
            jobCompletion.finishIfComplete(attempt.job());
            jobCompletion.dropIfOver(attempt.job());
        }
    }

    /** Answers a worker's report. */
    void report(Call call, Heartbeat heartbeat) {
        heartbeatHandler.respond(call, heartbeat);
    }

    /** Phase and counts of an active job, as its leader knows them; null if it is not known. */
    JobProgress progress(String id) {
        Job job = rebuilt ? clusterState.job(id) : null;
        return job == null ? null : job.progress();
    }

    int waitingTasks() {
        return clusterState.jobs().values().stream().mapToInt(Job::waiting).sum();
    }

    int runningTasks() {
        return clusterState.jobs().values().stream()
                .mapToInt(job -> job.progress().running())
                .sum();
    }

    long machinesUp() {
        return fleet.machines().stream().filter(m -> m.state() == Machine.State.UP).count();
    }

    int machinesLate() {
        return autoscaler.machinesLate();
    }

    int recordsToMove() {
        return historyArchiver.map(HistoryArchiver::waiting).orElse(0);
    }

    int roundsKept() {
        return log.kept();
    }
}
