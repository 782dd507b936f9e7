package org.springmill.control.recall;

import java.util.List;
import java.util.function.Consumer;
import org.springmill.control.borrowing.Recall;
import org.springmill.control.borrowing.RecallLog;
import org.springmill.control.borrowing.RecallProgress.Outcome;
import org.springmill.control.borrowing.RecallProgress.State;
import org.springmill.control.cluster.Job;
import org.springmill.control.cluster.Machine;
import org.springmill.control.cluster.TaskAttempt;
import org.springmill.control.recall.RecallReservations.ActiveRecall;
import org.springmill.control.scheduling.PreemptionPolicy;
import org.springmill.control.timing.Timeouts;
import org.springmill.protocol.KeyValueStoreMessages.Write;

/**
 * Preemption by recalls: decides them with a round, stops the victims once the round is committed,
 * reserves the freed capacity for the beneficiary, and settles each recall with the round that
 * claims its task, or once it is obsolete. See docs/borrowing.md for the design.
 */
public final class RecallPreemption implements PreemptionPolicy {
    private final RecallContext context;
    private final Timeouts timeouts;
    private final RecallLog recallLog;
    private final RecallPlanner planner;
    private final RecallReservations reservations;
    private final HoldDownCapacity heldDownCapacity;
    private final VictimStops victimStops;
    private final RecallSettlement settlement;
    private final InheritedRecalls inherited;
    private final RecallDecisions decisions;

    /** The recalls of the round that is being committed. */
    private List<ActiveRecall> awaitingCommit = List.of();

    RecallPreemption(
            RecallContext context,
            RecallLog recallLog,
            RecallPlanner planner,
            RecallReservations reservations,
            HoldDownCapacity heldDownCapacity,
            GracePeriods grace,
            VictimStops victimStops) {
        this.context = context;
        this.timeouts = context.timeouts();
        this.recallLog = recallLog;
        this.planner = planner;
        this.reservations = reservations;
        this.heldDownCapacity = heldDownCapacity;
        this.victimStops = victimStops;
        this.settlement = new RecallSettlement(context, reservations, heldDownCapacity);
        this.inherited =
                new InheritedRecalls(
                        context, recallLog, reservations, settlement, victimStops, grace);
        this.decisions =
                new RecallDecisions(context, recallLog, planner, reservations, victimStops, grace);
    }

    @Override
    public void load(Consumer<Boolean> done) {
        inherited.load(done);
    }

    @Override
    public void stateRecovered() {
        inherited.adoptAll();
    }

    @Override
    public void release(List<TaskAttempt> ended) {
        double now = context.loop().now();
        for (TaskAttempt attempt : ended) {
            attempt.machine().releaseResources(attempt);
            heldDownCapacity.taskReleased(attempt, now);
        }
    }

    @Override
    public List<Write> decide(long round, List<TaskAttempt> claimed) {
        double now = context.loop().now();
        heldDownCapacity.expire(now);
        claimed.forEach(attempt -> heldDownCapacity.taskPlaced(attempt, now));
        claimed.forEach(this::settleFulfilled);
        reservations.all().forEach(recall -> enforceTimeouts(recall, now));
        victimStops.send();
        reservations.beneficiaries().forEach(this::cancelSurplus);
        awaitingCommit = decisions.decide(round, now);
        List<Recall> decided =
                awaitingCommit.stream().map(active -> active.progress().recall()).toList();
        return recallLog.stage(round, decided, settlement.settledKeys());
    }

    /**
     * Settles a recall whose task was claimed: claim and end of the reservation are committed
     * together.
     */
    private void settleFulfilled(TaskAttempt claimed) {
        reservations.recallsFor(claimed.job()).stream()
                .filter(recall -> recall.machine() == claimed.machine())
                .findFirst()
                .ifPresent(recall -> settlement.settle(recall, Outcome.FULFILLED));
    }

    /**
     * Abandons a recall whose machine takes no tasks, resumes an inherited one, and ends the
     * current state of one that has timed out.
     */
    private void enforceTimeouts(ActiveRecall recall, double now) {
        State state = recall.progress().state();
        if (isUnusable(recall.machine(), now)) {
            abandon(recall);
        } else if (state == State.COMMITTING) {
            resume(recall, now);
        } else if (recall.progress().isOverdue(now)) {
            if (state == State.SAVING) {
                recall.progress().graceEnded(now);
                victimStops.endGracePeriod(recall);
            } else {
                planner.avoid(recall.machine());
                settlement.settle(recall, Outcome.EXPIRED);
            }
        }
    }

    /**
     * Whether a machine takes no tasks. A PROVISIONING machine is not unusable: after a failover,
     * machines are in this state until their first heartbeat.
     */
    private boolean isUnusable(Machine machine, double now) {
        return !machine.isSchedulable(now, timeouts.suspectAfterSeconds())
                && machine.state() != Machine.State.PROVISIONING;
    }

    /** Resumes an earlier leader's recall once heartbeats have shown the state of its victims. */
    private void resume(ActiveRecall recall, double now) {
        boolean victimsKnown =
                recall.victims().stream()
                        .noneMatch(victim -> victim.state() == TaskAttempt.State.UNKNOWN);
        if (victimsKnown) {
            stopVictims(recall, now);
        } else if (recall.progress().isOverdue(now)) {
            abandon(recall);
        }
    }

    /** Settles a recall as expired; victims that were not sent a stop command continue to run. */
    private void abandon(ActiveRecall recall) {
        victimStops.unmarkRecalled(recall);
        settlement.settle(recall, Outcome.EXPIRED);
    }

    /** Withdraws the recalls of a job that exceed its waiting tasks, the latest first. */
    private void cancelSurplus(Job job) {
        List<ActiveRecall> recalls = reservations.recallsFor(job);
        int waitingTasks = job.isActive() ? job.startableTaskCount() : 0;
        for (int i = recalls.size(); i > waitingTasks; i--) {
            settlement.settle(recalls.get(i - 1), Outcome.WITHDRAWN);
        }
    }

    /** Stops the victims of the recalls that were committed with the round. */
    @Override
    public void committed() {
        recallLog.committed();
        settlement.committed();
        double now = context.loop().now();
        List<ActiveRecall> committed = awaitingCommit;
        awaitingCommit = List.of();
        committed.forEach(recall -> stopVictims(recall, now));
        victimStops.send();
        context.metrics().recordRecallsCommitted(committed.size());
    }

    /**
     * Stops the victims of a committed recall. A commit may take long; if demand has fallen in the
     * meantime, or a team would now be left below its entitlement, the recall is cancelled.
     */
    private void stopVictims(ActiveRecall recall, double now) {
        if (isStillNeeded(recall)
                && planner.keepsEntitlements(recall.beneficiary(), recall.victims())) {
            recall.progress().committed(now);
            victimStops.stop(recall);
        } else {
            victimStops.unmarkRecalled(recall);
            settlement.settle(recall, Outcome.TAKEN_BACK);
        }
    }

    private boolean isStillNeeded(ActiveRecall recall) {
        Job job = recall.beneficiary();
        return job.isActive()
                && reservations.recallsFor(job).indexOf(recall) < job.startableTaskCount();
    }
}
