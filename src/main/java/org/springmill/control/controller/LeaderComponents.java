package org.springmill.control.controller;

import java.util.Optional;
import org.springmill.control.autoscaling.Autoscaler;
import org.springmill.control.cluster.ClusterState;
import org.springmill.control.cluster.Fleet;
import org.springmill.control.history.HistoryArchiver;
import org.springmill.control.membership.WorkloadBroadcast;
import org.springmill.control.scheduling.PlacementRounds;
import org.springmill.control.scheduling.PreemptionPolicy;
import org.springmill.control.storage.RoundLog;
import org.springmill.control.workers.CommandDispatcher;
import org.springmill.control.workers.HeartbeatHandler;

/**
 * The components of one term of leadership, created by {@link LeaderFactory}.
 *
 * @param historyArchiver empty unless a retention time of the job history is configured
 */
record LeaderComponents(
        TermLifecycle lifecycle,
        ClusterState clusterState,
        Fleet fleet,
        RoundLog roundLog,
        CommandDispatcher dispatcher,
        HeartbeatHandler heartbeatHandler,
        PreemptionPolicy preemption,
        PlacementRounds rounds,
        WorkloadBroadcast broadcast,
        ImageLocationPersister imageLocationPersister,
        JobCompletion jobCompletion,
        JobAdmission jobAdmission,
        JobRecordHandler jobRecordHandler,
        CancellationPersister cancellationPersister,
        Optional<HistoryArchiver> historyArchiver,
        Autoscaler autoscaler,
        LeaderTick tick) {}
