package org.springmill.control.workers;

import java.util.Set;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.springmill.control.cluster.Fleet;
import org.springmill.control.cluster.HeartbeatSource;
import org.springmill.control.cluster.Machine;
import org.springmill.control.cluster.MessagePosition;
import org.springmill.control.cluster.TaskAttempt;
import org.springmill.control.cluster.WorkerEpoch;
import org.springmill.control.membership.Peers;
import org.springmill.control.metrics.Metrics;
import org.springmill.control.timing.Timeouts;
import org.springmill.protocol.Submission;
import org.springmill.protocol.WorkerMessages.ExitCause;
import org.springmill.protocol.WorkerMessages.Heartbeat;

/**
 * Reconciles the cluster state with the heartbeats of workers, and with missing heartbeats: decides
 * which task attempts are alive and which provably no longer run.
 *
 * <p>A task may be placed again only after one of the proofs in docs/design.md, section 6:
 *
 * <ul>
 *   <li>claim 6.1, a newer heartbeat without the attempt under a higher fencing token: {@link
 *       #isFencedOff};
 *   <li>claim 6.2, a heartbeat of a later epoch: {@link #isOfEarlierEpoch};
 *   <li>claim 6.3, an expired lease: {@link WorkerLeases} and {@link LeaseExpiry};
 *   <li>claim 6.4, a deleted machine: decided by the autoscaling package.
 * </ul>
 *
 * <p>The first three hold for one process of a worker; {@link WorkerRestarts} notices another one.
 */
public final class Reconciliation {
    private static final Logger LOG = LoggerFactory.getLogger(Reconciliation.class);

    /**
     * A heartbeat with a sequence number up to this was sent shortly after the worker's start. The
     * sequence number also counts lost messages.
     */
    private static final int MAX_STARTUP_SEQUENCE = 4;

    private static final long FIRST_EPOCH = 1;

    private final Fleet fleet;
    private final Timeouts timeouts;
    private final Peers peers;
    private final LeaseExpiry leaseExpiry;
    private final WorkerRestarts restarts;
    private final TaskStatusHandler taskStatusHandler;
    private final Runnable onChange;
    private final Consumer<String> onLaterTerm;

    /**
     * Makes the reconciliation of a term that has just begun.
     *
     * @param fleet the machines and attempts of this term
     * @param timeouts the duration of leases and the timeout of confirmations
     * @param peers provides the time until which other controllers may renew leases
     * @param metrics counts starts, lost attempts, suspect jobs and restarts of workers
     * @param onChange called when a placement round may have something to do
     * @param onLaterTerm called with a reason when a worker has seen a fencing token of a later
     *     term
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
        WorkerLeases leases = new WorkerLeases(fleet, timeouts, peers);
        leaseExpiry = new LeaseExpiry(fleet, leases, metrics, onChange);
        restarts = new WorkerRestarts(fleet, metrics);
        this.taskStatusHandler = new TaskStatusHandler(fleet, timeouts, metrics);
        this.onChange = onChange;
        this.onLaterTerm = onLaterTerm;
    }

    /** Reconciles a heartbeat. Ignores it if it is not newer than all before. */
    public void acceptHeartbeat(Machine machine, Heartbeat heartbeat) {
        if (!showsLaterTerm(machine, heartbeat)) {
            accept(machine, heartbeat, HeartbeatSource.HEARTBEAT);
        }
    }

    /**
     * Reconciles the status with which a worker answered a request.
     *
     * @param latestBefore the place of the newest message that had arrived from the worker when the
     *     request was sent
     */
    public void acceptAnswer(Machine machine, Heartbeat answer, MessagePosition latestBefore) {
        if (!showsLaterTerm(machine, answer)
                && !restarts.isNoticedInAnswer(machine, answer, latestBefore)) {
            accept(machine, answer, HeartbeatSource.COMMAND_RESPONSE);
        }
    }

    /** Whether a heartbeat shows that the worker's process has been replaced by another one. */
    public boolean noticesRestart(Machine machine, Heartbeat heartbeat) {
        return restarts.isNoticedInHeartbeat(machine, heartbeat);
    }

    private boolean showsLaterTerm(Machine machine, Heartbeat heartbeat) {
        boolean isLaterTerm = WorkerEpoch.termOf(heartbeat.fencingToken()) > fleet.term();
        if (isLaterTerm) {
            onLaterTerm.accept(machine.name() + " has seen a later term");
        }
        return isLaterTerm;
    }

    private void accept(Machine machine, Heartbeat heartbeat, HeartbeatSource source) {
        if (!machine.workerEpoch().isNewerThanSeen(heartbeat)) {
            return;
        }
        double now = fleet.now();
        boolean wasSchedulable = isSchedulable(machine, now);
        machine.workerEpoch().adoptFencingToken(heartbeat.fencingToken());
        machine.acceptHeartbeat(heartbeat, source, now);
        markUp(machine, heartbeat, source, now);
        Set<TaskAttempt> reported = taskStatusHandler.apply(machine, heartbeat, now);
        endAttemptsProvenGone(machine, heartbeat, reported);
        restarts.settleMissing(machine, heartbeat, reported);
        if (machine.hasPreemptionNotice()) {
            evacuate(machine);
        }
        // Hundreds of workers send heartbeats every few seconds, mostly without any change. Those
        // must not trigger a placement round.
        boolean becameSchedulable = !wasSchedulable && isSchedulable(machine, now);
        if (fleet.clusterState().hasEnded() || becameSchedulable) {
            onChange.run();
        }
    }

    private boolean isSchedulable(Machine machine, double now) {
        return machine.isSchedulable(now, timeouts.suspectAfterSeconds());
    }

    private void markUp(Machine machine, Heartbeat heartbeat, HeartbeatSource source, double now) {
        boolean wasProvisioning = machine.state() == Machine.State.PROVISIONING;
        if (wasProvisioning && machine.type() != null && isSentAtStartup(heartbeat)) {
            fleet.bootTimes().recordBoot(machine, now);
        }
        if (wasProvisioning || machine.state() == Machine.State.LEASE_EXPIRED) {
            LOG.debug(
                    "worker {} heard by {}: epoch {}, sequence {}, token {}",
                    machine.name(),
                    source,
                    heartbeat.epoch(),
                    heartbeat.sequence(),
                    heartbeat.fencingToken());
            machine.transition(Machine.State.UP);
        }
    }

    /** Whether a heartbeat is one of the first after its worker's start. */
    private static boolean isSentAtStartup(Heartbeat heartbeat) {
        return heartbeat.epoch() <= FIRST_EPOCH && heartbeat.sequence() <= MAX_STARTUP_SEQUENCE;
    }

    private void endAttemptsProvenGone(
            Machine machine, Heartbeat heartbeat, Set<TaskAttempt> reported) {
        for (TaskAttempt attempt : machine.attemptsSnapshot()) {
            if (!reported.contains(attempt) && isProvenGone(attempt, heartbeat)) {
                LOG.debug(
                        "{} attempt {} is gone: {} shows epoch {}, token {}; sent to epoch {}, token {}",
                        attempt.claim().task(),
                        attempt.claim().round(),
                        machine.name(),
                        heartbeat.epoch(),
                        heartbeat.fencingToken(),
                        attempt.startEpoch(),
                        attempt.highestStartToken());
                fleet.end(attempt, ExitCause.NONE);
            }
        }
    }

    /**
     * Whether the absence of an attempt from a newer heartbeat proves that it no longer runs. If
     * neither claim holds, its start command may still be in transit.
     */
    private static boolean isProvenGone(TaskAttempt attempt, Heartbeat heartbeat) {
        return switch (attempt.state()) {
            case CLAIMING, CLAIMED, ENDED, CLOSED -> false;
            default -> isFencedOff(attempt, heartbeat) || isOfEarlierEpoch(attempt, heartbeat);
        };
    }

    /**
     * Claim 6.1: the worker has seen a higher fencing token than any that the start command was
     * sent with, so it rejects a copy that is still in transit.
     */
    private static boolean isFencedOff(TaskAttempt attempt, Heartbeat heartbeat) {
        return heartbeat.fencingToken() > attempt.highestStartToken();
    }

    /**
     * Claim 6.2: the worker is in a later epoch than the one that the start command was sent to. It
     * ended all tasks at the beginning of that epoch, and rejects commands to earlier ones.
     */
    private static boolean isOfEarlierEpoch(TaskAttempt attempt, Heartbeat heartbeat) {
        boolean startEpochKnown = attempt.startEpoch() != 0;
        return startEpochKnown && heartbeat.epoch() > attempt.startEpoch();
    }

    /** Handles expired leases, and start commands that were not confirmed in time. */
    public void tick() {
        double now = fleet.now();
        leaseExpiry.observeQuorum(now);
        double peersMayRenewUntil = peers.othersMayRenewUntil();
        for (Machine machine : fleet.machinesSnapshot()) {
            if (machine.state() == Machine.State.TERMINATED) {
                continue;
            }
            if (!leaseExpiry.check(machine, peersMayRenewUntil, now)) {
                checkClaimConfirmations(machine, now);
            }
        }
    }

    /** Marks attempts as unknown whose start no heartbeat has confirmed within the timeout. */
    private void checkClaimConfirmations(Machine machine, double now) {
        for (TaskAttempt attempt : machine.attemptsSnapshot()) {
            boolean overdue =
                    now - attempt.stateSince() > timeouts.claimConfirmationTimeoutSeconds();
            if (attempt.state() == TaskAttempt.State.SENT && overdue) {
                attempt.transition(TaskAttempt.State.UNKNOWN, now);
                attempt.scheduleResend(now);
            }
        }
    }

    /**
     * Stops all attempts on a machine that the cloud is about to preempt, so that they run on other
     * machines. Those that stop in time can be placed again without waiting for the lease to expire
     * or the machine to be deleted.
     */
    private void evacuate(Machine machine) {
        double secondsLeft = machine.preemptionAt() - fleet.now();
        for (TaskAttempt attempt : machine.attemptsSnapshot()) {
            if (!attempt.isMigrating()) {
                attempt.markMigrating();
                fleet.stop(attempt, evacuationGraceSeconds(attempt, secondsLeft));
            }
        }
    }

    /** The whole remaining time if a checkpoint can be saved in it, otherwise none. */
    private static double evacuationGraceSeconds(TaskAttempt attempt, double secondsLeft) {
        Submission spec = attempt.job().spec();
        double saveSeconds = spec.hasCheckpoints() ? spec.checkpointSaveSeconds() : 0;
        return saveSeconds < secondsLeft ? secondsLeft : 0;
    }
}
