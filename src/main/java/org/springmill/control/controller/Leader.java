package org.springmill.control.controller;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.springmill.control.cluster.Job;
import org.springmill.control.cluster.Machine;
import org.springmill.control.cluster.WorkerEpoch;
import org.springmill.control.history.HistoryArchiver;
import org.springmill.control.storage.JobRecord;
import org.springmill.control.storage.RoundLog;
import org.springmill.protocol.PeerMessages.JobProgress;
import org.springmill.protocol.PeerMessages.PendingCancellation;
import org.springmill.protocol.WorkerMessages.Heartbeat;
import org.springmill.transport.HttpHandler.Call;

/**
 * One term of leadership: recovers what earlier leaders committed, and is then active until the
 * term ends. It is not reused for a later term.
 */
final class Leader {
    private static final Logger LOG = LoggerFactory.getLogger(Leader.class);

    private final ControllerServices services;
    private final LeaderComponents components;
    private final TermLifecycle lifecycle;
    private final Optional<HistoryArchiver> historyArchiver;
    private final double startedAt;
    private double jobRecordsReadAt;

    Leader(ControllerServices services, LeaderComponents components) {
        this.services = services;
        this.components = components;
        lifecycle = components.lifecycle();
        historyArchiver = components.historyArchiver();
        startedAt = services.loop().now();
    }

    /** Ends the term: nothing more is sent or written for it. */
    void close() {
        lifecycle.close();
        historyArchiver.ifPresent(HistoryArchiver::close);
        components.roundLog().close();
        components.dispatcher().close();
        components.rounds().close();
        components.broadcast().close();
        components.imageLocationPersister().close();
        components.jobCompletion().close();
        components.autoscaler().close();
        components.cancellationPersister().close();
    }

    /**
     * Recovers what earlier leaders committed, and retries until that succeeds. Heartbeats are
     * answered during recovery, so that leases do not expire.
     */
    void start() {
        LOG.info(
                "term {} begins: fencing tokens from {}",
                components.fleet().term(),
                WorkerEpoch.firstToken(components.fleet().term()));
        readState();
    }

    private void readState() {
        services.directory()
                .readBarrier(
                        current -> {
                            if (lifecycle.isClosed()) {
                                return;
                            }
                            if (current && services.catalog().isKnown()) {
                                jobRecordsReadAt = services.loop().now();
                                loadRounds();
                            } else {
                                retryStartLater();
                            }
                        });
    }

    private void loadRounds() {
        components
                .roundLog()
                .load(
                        rounds -> {
                            if (lifecycle.isClosed()) {
                                return;
                            }
                            if (rounds == null) {
                                retryStartLater();
                            } else {
                                loadRecalls(rounds);
                            }
                        });
    }

    private void loadRecalls(RoundLog.RecoveredRounds rounds) {
        components
                .preemption()
                .load(
                        loaded -> {
                            if (lifecycle.isClosed()) {
                                return;
                            }
                            if (loaded) {
                                recover(rounds);
                                startComponents();
                            } else {
                                retryStartLater();
                            }
                        });
    }

    private void retryStartLater() {
        services.loop().after(services.timeouts().peerPollIntervalSeconds(), this::readState);
    }

    private void recover(RoundLog.RecoveredRounds rounds) {
        ClusterStateRecovery recovery =
                new ClusterStateRecovery(
                        services.directory(),
                        components.clusterState(),
                        components.fleet(),
                        components.jobCompletion(),
                        services.loop());
        List<JobRecord> activeRecords = recovery.activeRecords();
        recovery.endedRecords()
                .forEach(
                        record -> historyArchiver.ifPresent(archiver -> archiver.jobEnded(record)));
        activeRecords.forEach(
                record ->
                        components
                                .jobAdmission()
                                .admitRecovered(recovery.recoverJob(record, rounds)));
        rounds.live().forEach(recovery::recoverAttempt);
        components.preemption().stateRecovered();
        lifecycle.activate();
        LOG.info(
                "cluster state of term {} recovered: {} active jobs, {} claims in {} rounds; job records read {} s, rounds {} s after its beginning",
                components.fleet().term(),
                activeRecords.size(),
                rounds.live().size(),
                components.roundLog().storedValueCount(),
                secondsSinceStart(jobRecordsReadAt),
                secondsSinceStart(services.loop().now()));
    }

    private String secondsSinceStart(double time) {
        return String.format(Locale.ROOT, "%.3f", time - startedAt);
    }

    private void startComponents() {
        components.autoscaler().start(components.roundLog().storedValueCount() == 0);
        for (Machine machine : components.fleet().machinesSnapshot()) {
            machine.commandChannel().requestStatus();
            components.dispatcher().requestSend(machine);
        }
        for (Job job : new ArrayList<>(components.clusterState().jobs().values())) {
            components.jobCompletion().finishIfComplete(job);
        }
        components.rounds().request();
        components.tick().run();
        components.broadcast().start();
        components.cancellationPersister().run();
        historyArchiver.ifPresent(HistoryArchiver::start);
        components.imageLocationPersister().start();
    }

    /**
     * Records that this process was paused: heartbeats that it did not read meanwhile were not
     * missing.
     */
    void resumed() {
        components.autoscaler().processResumed();
    }

    /** Applies a job record that has changed, here or at another controller. */
    void jobRecordChanged(JobRecord record) {
        components.jobRecordHandler().recordChanged(record);
    }

    /** Answers a worker's heartbeat. */
    void respondToHeartbeat(Call call, Heartbeat heartbeat) {
        components.heartbeatHandler().respond(call, heartbeat);
    }

    /** Phase and task counts of an active job; null if this leader does not know the job. */
    JobProgress progress(String id) {
        Job job = lifecycle.isActive() ? components.clusterState().job(id) : null;
        return job == null ? null : job.progress();
    }

    /**
     * The machines on which tasks of a cancelled job may still be, in the order of their names;
     * empty while this leader may not act, or if it does not know that the job is cancelled.
     */
    Optional<List<String>> machinesOfCancelled(String id) {
        JobRecord record = services.directory().get(id);
        boolean isKnown = record != null && record.cancelled();
        if (!isKnown || !knowsAllTasks()) {
            return Optional.empty();
        }
        Job job = components.clusterState().job(id);
        return Optional.of(job == null ? List.of() : job.machinesOfLiveAttempts());
    }

    /**
     * All cancelled jobs of which tasks may still be on machines; empty while this leader may not
     * act or has not recovered what earlier leaders committed.
     */
    Optional<List<PendingCancellation>> pendingCancellations() {
        if (!knowsAllTasks()) {
            return Optional.empty();
        }
        return Optional.of(
                components.clusterState().jobs().values().stream()
                        .filter(job -> !job.machinesOfLiveAttempts().isEmpty())
                        .map(job -> services.directory().get(job.id()))
                        .filter(record -> record != null && record.cancelled())
                        .map(this::pendingCancellation)
                        .toList());
    }

    private PendingCancellation pendingCancellation(JobRecord cancelled) {
        double ageSeconds = services.loop().timeOfDay() - cancelled.endedAt();
        double maxClockErrorSeconds = 2 * services.settings().skewSeconds();
        return new PendingCancellation(cancelled.id(), ageSeconds + maxClockErrorSeconds);
    }

    /** Whether this leader may act and has recovered what earlier leaders committed. */
    boolean knowsAllTasks() {
        return lifecycle.isActive() && services.leadership().mayRespondToWorkers();
    }

    /** Tasks of eligible jobs that are not done and have no live attempt. */
    int waitingTasks() {
        return components.clusterState().jobs().values().stream()
                .mapToInt(Job::waitingTaskCount)
                .sum();
    }

    /** Tasks that workers have reported as running. */
    int runningTasks() {
        return components.clusterState().jobs().values().stream()
                .mapToInt(job -> job.progress().running())
                .sum();
    }

    /** Machines whose workers send heartbeats. */
    long machinesUp() {
        return components.fleet().machines().stream()
                .filter(machine -> machine.state() == Machine.State.UP)
                .count();
    }

    /** Machines that have been booting for longer than expected. */
    int overdueBoots() {
        return components.autoscaler().overdueMachines();
    }

    /** Records of ended jobs that are still to be archived. */
    int recordsToArchive() {
        return historyArchiver.map(HistoryArchiver::pendingCount).orElse(0);
    }

    /** Placement rounds in the key-value store. */
    int storedRounds() {
        return components.roundLog().storedValueCount();
    }
}
