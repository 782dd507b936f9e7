package org.springmill.control.controller;

import java.util.Optional;
import java.util.OptionalDouble;
import org.springmill.control.admission.QueueWaits;
import org.springmill.control.autoscaling.ArrivalRateEstimator;
import org.springmill.control.autoscaling.Autoscaler;
import org.springmill.control.borrowing.RecallLog;
import org.springmill.control.cluster.ClusterState;
import org.springmill.control.cluster.DependencyPriority;
import org.springmill.control.cluster.Fleet;
import org.springmill.control.cluster.Job;
import org.springmill.control.history.HistoryArchiver;
import org.springmill.control.history.HistoryMembership;
import org.springmill.control.jobs.JobDirectory;
import org.springmill.control.leadership.Leadership;
import org.springmill.control.membership.WorkloadBroadcast;
import org.springmill.control.recall.RecallSetup;
import org.springmill.control.scheduling.CapacityFilter;
import org.springmill.control.scheduling.ImmediatePreemption;
import org.springmill.control.scheduling.Placement;
import org.springmill.control.scheduling.PlacementRounds;
import org.springmill.control.scheduling.PreemptionPolicy;
import org.springmill.control.storage.KeyValueStoreClient;
import org.springmill.control.storage.RoundLog;
import org.springmill.control.timing.Timeouts;
import org.springmill.control.workers.CommandDispatcher;
import org.springmill.control.workers.HeartbeatHandler;
import org.springmill.control.workers.Reconciliation;
import org.springmill.protocol.Settings;
import org.springmill.transport.EventLoop;

/** Wires the components of each term that this controller leads. */
final class LeaderFactory {
    /**
     * Minimum interval between rounds, as a number of writes: the interval is the time in which the
     * key-value store's rate limit allows that many.
     */
    private static final double MIN_ROUND_INTERVAL_WRITES = 4;

    private final ControllerServices services;
    private final Settings settings;
    private final Timeouts timeouts;
    private final EventLoop loop;
    private final KeyValueStoreClient store;
    private final Leadership leadership;
    private final JobDirectory directory;

    LeaderFactory(ControllerServices services) {
        this.services = services;
        settings = services.settings();
        timeouts = services.timeouts();
        loop = services.loop();
        store = services.store();
        leadership = services.leadership();
        directory = services.directory();
    }

    /** Creates the leader of the term that was just won; {@link Leader#start} starts it. */
    Leader create() {
        TermLifecycle lifecycle = new TermLifecycle();
        ClusterState clusterState = new ClusterState(settings);
        Fleet fleet = fleet(clusterState);
        RoundLog roundLog = roundLog(clusterState);
        RoundTrigger roundTrigger = new RoundTrigger(lifecycle);
        Reconciliation reconciliation = reconciliation(fleet, roundTrigger);
        CommandDispatcher dispatcher =
                new CommandDispatcher(
                        fleet,
                        services.http(),
                        timeouts,
                        reconciliation::acceptAnswer,
                        leadership::mayRespondToWorkers);
        HeartbeatHandler heartbeatHandler =
                new HeartbeatHandler(
                        fleet, reconciliation, dispatcher, directory, loop, timeouts, lifecycle);
        Optional<RecallSetup> recallSetup = recallSetup(fleet);
        Placement placement = new Placement(fleet, timeouts, capacityFilter(recallSetup));
        PreemptionPolicy preemption = preemption(recallSetup, fleet, placement, dispatcher);
        WorkloadBroadcast broadcast = broadcast(clusterState, fleet);
        JobCompletion jobCompletion = jobCompletion(clusterState);
        CommittedRoundHandler committedRounds =
                new CommittedRoundHandler(
                        services.metrics(), leadership, broadcast, dispatcher, jobCompletion);
        PlacementRounds rounds = rounds(fleet, placement, preemption, roundLog, committedRounds);
        roundTrigger.bind(rounds);
        ImageLocationPersister imageLocationPersister =
                new ImageLocationPersister(
                        store, fleet, leadership, loop, timeouts.workerLeaseSeconds());
        ArrivalRateEstimator arrivalRates = new ArrivalRateEstimator(settings, loop.now());
        DependencyPriority dependencyPriority = new DependencyPriority(directory, clusterState);
        CancellationPersister cancellationPersister =
                new CancellationPersister(store, directory, leadership, loop);
        Optional<HistoryArchiver> historyArchiver =
                services.historyMembership()
                        .map(membership -> historyArchiver(membership, clusterState));
        Autoscaler autoscaler = autoscaler(fleet, placement, arrivalRates, roundTrigger);
        JobAdmission jobAdmission =
                new JobAdmission(
                        directory, clusterState, dependencyPriority, arrivalRates, rounds, loop);
        JobRecordHandler jobRecordHandler =
                new JobRecordHandler(
                        lifecycle,
                        clusterState,
                        fleet,
                        dependencyPriority,
                        jobAdmission,
                        jobCompletion,
                        dispatcher,
                        rounds,
                        historyArchiver);
        LeaderTick tick =
                new LeaderTick(
                        services,
                        lifecycle,
                        jobCompletion,
                        autoscaler,
                        new LeaderIsolationCheck(services, fleet),
                        reconciliation,
                        dependencyPriority,
                        new MachineSweep(fleet, dispatcher, loop, timeouts),
                        rounds);
        return new Leader(
                services,
                new LeaderComponents(
                        lifecycle,
                        clusterState,
                        fleet,
                        roundLog,
                        dispatcher,
                        heartbeatHandler,
                        preemption,
                        rounds,
                        broadcast,
                        imageLocationPersister,
                        jobCompletion,
                        jobAdmission,
                        jobRecordHandler,
                        cancellationPersister,
                        historyArchiver,
                        autoscaler,
                        tick));
    }

    private Fleet fleet(ClusterState clusterState) {
        return new Fleet(
                clusterState,
                services.catalog(),
                loop,
                timeouts,
                leadership.term(),
                settings.operator().bootTimeoutFactor());
    }

    private RoundLog roundLog(ClusterState clusterState) {
        return new RoundLog(
                store,
                loop,
                leadership.termCondition(),
                id -> isActive(clusterState.job(id)),
                settings.limits().cpuShare(),
                settings.operator().borrowing().isPresent()
                        ? RecallLog.reserve(settings.storeLimits())
                        : RoundLog.Reserve.NONE);
    }

    private static boolean isActive(Job job) {
        return job != null && job.isActive();
    }

    private Reconciliation reconciliation(Fleet fleet, RoundTrigger roundTrigger) {
        return new Reconciliation(
                fleet,
                timeouts,
                services.peers(),
                services.metrics(),
                roundTrigger::request,
                leadership::stepDown);
    }

    private Optional<RecallSetup> recallSetup(Fleet fleet) {
        return settings.operator()
                .borrowing()
                .map(
                        borrowing ->
                                new RecallSetup(
                                        fleet, loop, timeouts, borrowing, services.metrics()));
    }

    private static CapacityFilter capacityFilter(Optional<RecallSetup> recallSetup) {
        return recallSetup
                .<CapacityFilter>map(RecallSetup::capacityFilter)
                .orElse(CapacityFilter.NONE);
    }

    private PreemptionPolicy preemption(
            Optional<RecallSetup> recallSetup,
            Fleet fleet,
            Placement placement,
            CommandDispatcher dispatcher) {
        return recallSetup
                .<PreemptionPolicy>map(
                        setup -> setup.preemptionPolicy(store, placement, dispatcher::requestSend))
                .orElseGet(() -> new ImmediatePreemption(fleet, placement, timeouts));
    }

    private PlacementRounds rounds(
            Fleet fleet,
            Placement placement,
            PreemptionPolicy preemption,
            RoundLog roundLog,
            PlacementRounds.Listener listener) {
        return new PlacementRounds(
                fleet,
                placement,
                preemption,
                roundLog,
                leadership,
                loop,
                MIN_ROUND_INTERVAL_WRITES / settings.storeLimits().writesPerSecond(),
                listener);
    }

    private WorkloadBroadcast broadcast(ClusterState clusterState, Fleet fleet) {
        return new WorkloadBroadcast(
                clusterState,
                services.peers(),
                services.congestion(),
                queueWaits(),
                loop,
                settings.node(),
                fleet.term(),
                timeouts.heartbeatIntervalSeconds());
    }

    private Optional<QueueWaits> queueWaits() {
        OptionalDouble maxWaitSeconds = settings.operator().maxWaitSeconds();
        return maxWaitSeconds.isPresent()
                ? Optional.of(new QueueWaits(maxWaitSeconds.getAsDouble()))
                : Optional.empty();
    }

    private JobCompletion jobCompletion(ClusterState clusterState) {
        return new JobCompletion(
                store, directory, clusterState, leadership, loop, timeouts, settings.skewSeconds());
    }

    private HistoryArchiver historyArchiver(
            HistoryMembership membership, ClusterState clusterState) {
        return new HistoryArchiver(
                store,
                loop,
                membership,
                new ArchivableJobs(directory, clusterState, leadership, services.metrics()),
                settings.operator().historyRetentionSeconds().getAsDouble(),
                timeouts.workerLeaseSeconds());
    }

    private Autoscaler autoscaler(
            Fleet fleet,
            Placement placement,
            ArrivalRateEstimator arrivalRates,
            RoundTrigger roundTrigger) {
        return new Autoscaler(
                fleet,
                placement,
                arrivalRates,
                services.peers(),
                services.http(),
                loop,
                settings,
                timeouts,
                roundTrigger::request);
    }
}
