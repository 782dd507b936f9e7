package org.springmill.control.workers;

import java.util.HashSet;
import java.util.Set;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.springmill.control.cluster.Fleet;
import org.springmill.control.cluster.Job;
import org.springmill.control.cluster.JobFailures;
import org.springmill.control.cluster.Machine;
import org.springmill.control.cluster.TaskAttempt;
import org.springmill.control.cluster.WorkerEpoch;
import org.springmill.control.membership.Peers;
import org.springmill.control.metrics.Metrics;
import org.springmill.control.timing.Timeouts;
import org.springmill.protocol.WorkerMessages.ExitCause;
import org.springmill.protocol.WorkerMessages.Heartbeat;
import org.springmill.protocol.WorkerMessages.TaskStatus;

/**
 * Decides from workers' messages, and from their silence, which attempts stand and which are proven
 * gone. A task may be placed again only after one of the proofs here; docs/design.md has the
 * argument.
 */
public final class Reconciliation {
    private static final Logger LOG = LoggerFactory.getLogger(Reconciliation.class);

    /** The shortest pause of a job that fails is a lease divided by this. */
    private static final double PAUSES_PER_LEASE = 4;

    /** A worker sends so many messages, lost ones included, within moments of its start. */
    private static final int FIRST_MESSAGES = 4;

    private final Fleet fleet;
    private final Timeouts timeouts;
    private final Peers peers;
    private final Metrics metrics;
    private final double tookOverAt;

    /** When a quorum of controllers was first seen to know this term. */
    private double quorumKnewTermAt = Double.POSITIVE_INFINITY;

    private final Runnable onChange;
    private final Consumer<String> onLaterTerm;

    /**
     * @param onChange called when a round may have something to do
     * @param onLaterTerm called when a worker has seen a token of a later term
     */
    public Reconciliation(
            Fleet fleet,
            Timeouts timeouts,
            Peers peers,
            Metrics metrics,
            Runnable onChange,
            Consumer<String> onLaterTerm) {
        this.fleet = fleet;
        this.timeouts = timeouts;
        this.peers = peers;
        this.metrics = metrics;
        this.tookOverAt = fleet.now();
        this.onChange = onChange;
        this.onLaterTerm = onLaterTerm;
    }

    /**
     * Takes in a worker's message, unless a newer one was seen before: late copies prove nothing.
     */
    public void accept(Machine machine, Heartbeat heartbeat) {
        if (WorkerEpoch.termOf(heartbeat.fencingToken()) > fleet.term()) {
            onLaterTerm.accept(machine.name() + " has seen a later term");
            return;
        }
        if (!machine.workerEpoch().isNewerThanSeen(heartbeat)) {
            return;
        }
        double now = fleet.now();
        boolean tookWork = machine.isSchedulable(now, timeouts.suspectAfterSeconds());
        machine.workerEpoch().adoptFencingToken(heartbeat.fencingToken());
        machine.acceptHeartbeat(heartbeat, now);
        boolean wasExpected = machine.state() == Machine.State.PROVISIONING;
        if (wasExpected && machine.type() != null && isFirstOfItsWorker(heartbeat)) {
            fleet.bootTimes().cameUp(machine, now);
        }
        if (wasExpected || machine.state() == Machine.State.LEASE_EXPIRED) {
            machine.transition(Machine.State.UP);
        }
        Set<TaskAttempt> present = takeReportedTasks(machine, heartbeat, now);
        for (TaskAttempt attempt : machine.attemptsNow()) {
            if (!present.contains(attempt) && provenGone(attempt, heartbeat)) {
                fleet.end(attempt, ExitCause.NONE);
            }
        }
        if (machine.hasPreemptionNotice()) {
            evacuate(machine);
        }
        // Hundreds of workers report every few seconds, mostly that nothing has changed: no reason
        // for a round.
        boolean takesWorkAgain =
                !tookWork && machine.isSchedulable(now, timeouts.suspectAfterSeconds());
        if (fleet.clusterState().hasEnded() || takesWorkAgain) {
            onChange.run();
        }
    }

    /** Whether a worker has only just begun to send messages. */
    private static boolean isFirstOfItsWorker(Heartbeat heartbeat) {
        return heartbeat.epoch() <= 1 && heartbeat.sequence() <= FIRST_MESSAGES;
    }

    private Set<TaskAttempt> takeReportedTasks(Machine machine, Heartbeat heartbeat, double now) {
        Set<TaskAttempt> present = new HashSet<>();
        for (TaskStatus task : heartbeat.tasks()) {
            TaskAttempt attempt = machine.find(task);
            if (attempt != null) {
                present.add(attempt);
                attempt.recordReported(now);
                seen(machine, attempt, task, now);
            }
        }
        return present;
    }

    private void seen(Machine machine, TaskAttempt attempt, TaskStatus task, double now) {
        switch (task.state()) {
            case FETCHING -> {
                if (attempt.state() == TaskAttempt.State.SENT
                        || attempt.state() == TaskAttempt.State.UNKNOWN) {
                    attempt.transition(TaskAttempt.State.FETCHING, now);
                    machine.needsImage(attempt.job().spec(), now);
                }
            }
            case RUNNING -> {
                if (attempt.state() == TaskAttempt.State.SENT
                        || attempt.state() == TaskAttempt.State.UNKNOWN
                        || attempt.state() == TaskAttempt.State.FETCHING) {
                    if (attempt.state() != TaskAttempt.State.UNKNOWN) {
                        metrics.started(attempt.claimedAt());
                    }
                    attempt.transition(TaskAttempt.State.RUNNING, now);
                    machine.usesImage(attempt.job().spec(), now);
                    if (attempt.job().spec().service()) {
                        machine.taskSucceeded();
                    }
                }
            }
            case SAVING -> {
                if (attempt.state() == TaskAttempt.State.UNKNOWN) {
                    attempt.transition(TaskAttempt.State.STOPPING, now);
                    fleet.clusterState().noteLeaving(attempt);
                }
            }
            case EXITED -> exited(machine, attempt, task.cause(), now);
        }
    }

    private void exited(Machine machine, TaskAttempt attempt, ExitCause cause, double now) {
        if (attempt.state() == TaskAttempt.State.ENDED
                || attempt.state() == TaskAttempt.State.CLAIMING) {
            return;
        }
        Job job = attempt.job();
        switch (cause) {
            case DONE -> {
                machine.taskSucceeded();
                job.failures().succeeded();
            }
            case ERROR -> failed(machine, attempt, now);
            case NO_ROOM, BUSY, UNKNOWN_JOB -> {
                LOG.info("{} refused on {}: {}", attempt.claim().task(), machine.name(), cause);
                machine.cordonUntil(now + timeouts.heartbeatIntervalSeconds());
            }
            default -> {}
        }
        fleet.end(attempt, cause);
    }

    private void failed(Machine machine, TaskAttempt attempt, double now) {
        LOG.info("{} failed on {}", attempt.claim().task(), machine.name());
        Job job = attempt.job();
        JobFailures failures = job.failures();
        if (job.spec().service() && anotherRunsWell(job, attempt, now)) {
            failures.othersRunWell();
        }
        boolean wasSuspect = failures.isSuspect();
        failures.failed(
                machine.name(),
                attempt.claimedAt(),
                now,
                timeouts.workerLeaseSeconds() / PAUSES_PER_LEASE);
        if (!wasSuspect && failures.isSuspect()) {
            metrics.jobSuspected();
            LOG.warn("{} fails wherever it runs: tried with few tasks, after pauses", job.id());
        }
        boolean wasQuarantined = machine.quarantined();
        machine.taskFailed(job);
        if (!wasQuarantined && machine.quarantined()) {
            LOG.warn("machine {} fails what it starts: no new work for it", machine.name());
        }
    }

    /** A replica that has run for a whole lease shows that the job itself is in order. */
    private boolean anotherRunsWell(Job job, TaskAttempt failed, double now) {
        return job.attempts().stream()
                .anyMatch(
                        other ->
                                other != failed
                                        && other.ranSeconds(now) > timeouts.workerLeaseSeconds());
    }

    /**
     * Absence from a newer message proves that an attempt is gone if the worker had by then seen a
     * token above every one its start was sent with, or has since begun a new session; otherwise a
     * start may still be on the way.
     */
    private boolean provenGone(TaskAttempt attempt, Heartbeat heartbeat) {
        return switch (attempt.state()) {
            case CLAIMING, CLAIMED, ENDED, CLOSED -> false;
            default ->
                    heartbeat.fencingToken() > attempt.highestStartToken()
                            || (attempt.startEpoch() != 0
                                    && heartbeat.epoch() > attempt.startEpoch());
        };
    }

    /** When the last lease that anyone may have granted to a machine's worker has run out. */
    private double leaseGoneAt(Machine machine, double othersUntil) {
        double lastRenewal = Math.max(machine.lastHeartbeatAnsweredAt(), othersUntil);
        double lastUnderEarlierTerm =
                Math.min(machine.workerEpoch().currentTermSeenAt(), earlierLeaderUntil());
        return Math.max(lastRenewal, lastUnderEarlierTerm) + timeouts.workerLeaseSeconds();
    }

    /**
     * Until when an earlier leader may have renewed leases. A worker may obey it until it has seen
     * this term's token, and the leader's last answer is not known here: a worker that showed the
     * token and then fell silent has its full lease from then on. An earlier leader whose outage a
     * quorum confirms may go on until a quorum knows this term.
     */
    private double earlierLeaderUntil() {
        double afterTakeover = tookOverAt + timeouts.followerRenewalLimitSeconds();
        double afterQuorumKnew =
                quorumKnewTermAt + timeouts.peerConfirmationValidityOnAnyClockSeconds();
        return Math.max(afterTakeover, afterQuorumKnew);
    }

    /** Looks for claims past their window and for machines silent beyond their lease. */
    public void tick() {
        double now = fleet.now();
        if (quorumKnewTermAt == Double.POSITIVE_INFINITY && peers.quorumKnows(fleet.term())) {
            quorumKnewTermAt = now;
        }
        double othersUntil = peers.othersMayRenewUntil();
        for (Machine machine : fleet.machinesNow()) {
            if (machine.state() == Machine.State.TERMINATED) {
                continue;
            }
            if (now > leaseGoneAt(machine, othersUntil)) {
                leaseExpired(machine);
            } else {
                checkClaimWindows(machine, now);
            }
        }
    }

    /** All attempts on a machine have ended with its worker's lease. */
    private void leaseExpired(Machine machine) {
        for (TaskAttempt attempt : machine.attemptsNow()) {
            if (attempt.state() != TaskAttempt.State.CLAIMING) {
                metrics.lost();
                fleet.end(attempt, ExitCause.NONE);
            }
        }
        if (machine.state() == Machine.State.UP) {
            LOG.warn("machine {} was silent for a whole lease", machine.name());
            machine.transition(Machine.State.LEASE_EXPIRED);
            machine.images().clear();
            onChange.run();
        }
    }

    /** A start that no report has confirmed within the window is unknown from then on. */
    private void checkClaimWindows(Machine machine, double now) {
        for (TaskAttempt attempt : machine.attemptsNow()) {
            boolean overdue =
                    now - attempt.stateSince() > timeouts.claimConfirmationTimeoutSeconds();
            if (attempt.state() == TaskAttempt.State.SENT && overdue) {
                attempt.transition(TaskAttempt.State.UNKNOWN, now);
                attempt.scheduleResend(now);
            }
        }
    }

    /**
     * Moves everything off a machine that is about to be taken: what ends in time is known to be
     * gone.
     */
    private void evacuate(Machine machine) {
        double left = machine.preemptionAt() - fleet.now();
        for (TaskAttempt attempt : machine.attemptsNow()) {
            if (!attempt.isMigrating()) {
                attempt.markMigrating();
                double save =
                        attempt.job().spec().checkpoints()
                                ? attempt.job().spec().checkpointSaveSeconds()
                                : 0;
                fleet.stop(attempt, save < left ? left : 0);
            }
        }
    }
}
