package org.springmill.control.recall;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.ToDoubleFunction;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.springmill.control.borrowing.Recall;
import org.springmill.control.borrowing.RecallLog;
import org.springmill.control.borrowing.RecallProgress;
import org.springmill.control.borrowing.RecallProgress.Outcome;
import org.springmill.control.borrowing.RecallProgress.State;
import org.springmill.control.cluster.Fleet;
import org.springmill.control.cluster.Job;
import org.springmill.control.cluster.Machine;
import org.springmill.control.cluster.TaskAttempt;
import org.springmill.control.metrics.Metrics;
import org.springmill.control.recall.RecallReservations.ActiveRecall;
import org.springmill.control.scheduling.PreemptionPolicy;
import org.springmill.control.timing.Timeouts;
import org.springmill.protocol.KeyValueStoreMessages.Write;
import org.springmill.protocol.Resources;
import org.springmill.protocol.TaskId;
import org.springmill.transport.EventLoop;

/**
 * Carries recalls out: decides them with a round, has the victims stopped once the round is
 * committed, keeps the room for the beneficiary, and settles each with the round that claims its
 * task, or when it is of no more use. docs/borrowing.md has the argument.
 */
public final class RecallPreemption implements PreemptionPolicy {
    private static final Logger LOG = LoggerFactory.getLogger(RecallPreemption.class);

    private final Fleet fleet;
    private final EventLoop loop;
    private final Timeouts timeouts;
    private final RecallLog recallLog;
    private final RecallPlanner planner;
    private final RecallReservations reservations;
    private final HoldDownCapacity heldDownCapacity;
    private final GracePeriods grace;
    private final Metrics metrics;
    private final Consumer<Machine> commandSender;

    /** What earlier leaders left, until jobs and attempts are known. */
    private Collection<Recall> inherited = List.of();

    private final Set<String> settled = new HashSet<>();
    private final Set<Machine> machinesWithCommands = new LinkedHashSet<>();
    private List<ActiveRecall> awaitingCommit = List.of();

    /**
     * @param commandSender sends a machine the commands that are due
     */
    RecallPreemption(
            Fleet fleet,
            EventLoop loop,
            Timeouts timeouts,
            RecallLog recallLog,
            RecallPlanner planner,
            RecallReservations reservations,
            HoldDownCapacity heldDownCapacity,
            GracePeriods grace,
            Metrics metrics,
            Consumer<Machine> commandSender) {
        this.fleet = fleet;
        this.loop = loop;
        this.timeouts = timeouts;
        this.recallLog = recallLog;
        this.planner = planner;
        this.reservations = reservations;
        this.heldDownCapacity = heldDownCapacity;
        this.grace = grace;
        this.metrics = metrics;
        this.commandSender = commandSender;
    }

    @Override
    public void load(Consumer<Boolean> done) {
        recallLog.load(
                found -> {
                    inherited = found == null ? List.of() : found;
                    done.accept(found != null);
                });
    }

    /** Carries on with what earlier leaders committed. */
    @Override
    public void stateRecovered() {
        inherited.forEach(this::adopt);
        inherited = List.of();
    }

    /**
     * Takes in a committed recall. Whether its victims were told is unknown: the workers' reports
     * tell what became of them, and only then is it carried on. Past its bound it is given up.
     */
    private void adopt(Recall recall) {
        Job beneficiary = fleet.clusterState().job(recall.beneficiary());
        Machine machine = fleet.machine(recall.machine());
        boolean claimed = beneficiary != null && hasClaimSince(beneficiary, machine, recall);
        if (beneficiary == null || !beneficiary.active() || claimed) {
            LOG.info("recall {} of an earlier leader is of no more use", recall.key());
            settled.add(recall.key());
            return;
        }
        List<TaskAttempt> victims = knownVictims(recall, machine);
        double saving = grace.checkpointTimeoutSeconds(grace.longestCheckpointSeconds(victims));
        double graceLeft = recall.graceEndsAt() - loop.timeOfDay();
        RecallProgress progress = new RecallProgress(recall, saving, grace.endTimeoutSeconds());
        progress.inherited(
                Math.max(0, Math.min(graceLeft, saving)) + grace.endTimeoutSeconds(), loop.now());
        reservations.add(
                new ActiveRecall(progress, beneficiary, machine, victims, 0, 0, loop.now()));
        victims.forEach(this::markRecalled);
    }

    private static boolean hasClaimSince(Job job, Machine machine, Recall recall) {
        return job.attempts().stream()
                .anyMatch(
                        attempt ->
                                attempt.machine() == machine
                                        && attempt.claim().round() > recall.round());
    }

    private List<TaskAttempt> knownVictims(Recall recall, Machine machine) {
        Set<TaskId> tasks = new HashSet<>(recall.victims());
        return machine.attemptsNow().stream()
                .filter(attempt -> tasks.contains(attempt.claim().task()))
                .filter(attempt -> attempt.claim().round() <= recall.round())
                .toList();
    }

    @Override
    public void release(List<TaskAttempt> ended) {
        double now = loop.now();
        for (TaskAttempt attempt : ended) {
            attempt.machine().release(attempt);
            heldDownCapacity.taskReleased(attempt, now);
        }
    }

    @Override
    public List<Write> decide(long round, List<TaskAttempt> claimed) {
        double now = loop.now();
        heldDownCapacity.expire(now);
        claimed.forEach(attempt -> heldDownCapacity.taskPlaced(attempt, now));
        claimed.forEach(this::settleFulfilled);
        reservations.all().forEach(recall -> enforceTimeouts(recall, now));
        sendCommands();
        reservations.beneficiaries().forEach(this::cancelSurplus);
        awaitingCommit = decideNew(round, now);
        List<Recall> decided =
                awaitingCommit.stream().map(active -> active.progress().recall()).toList();
        return recallLog.stage(round, decided, settled);
    }

    /** The claim of a beneficiary and the end of its promise are one transaction. */
    private void settleFulfilled(TaskAttempt claimed) {
        reservations.recallsFor(claimed.job()).stream()
                .filter(recall -> recall.machine() == claimed.machine())
                .findFirst()
                .ifPresent(recall -> settle(recall, Outcome.FULFILLED));
    }

    /** Applies the bounds on each step of a recall. */
    private void enforceTimeouts(ActiveRecall recall, double now) {
        if (!recall.machine().isSchedulable(now, timeouts.suspectAfterSeconds())
                && isKnown(recall.machine())) {
            abandon(recall);
        } else if (recall.progress().state() == State.COMMITTING) {
            resume(recall, now);
        } else if (recall.progress().overdue(now)) {
            if (recall.progress().state() == State.SAVING) {
                recall.progress().graceEnded(now);
                recall.victims().stream()
                        .filter(victim -> victim.state() == TaskAttempt.State.STOPPING)
                        .forEach(victim -> fleet.stop(victim, 0));
                machinesWithCommands.add(recall.machine());
            } else {
                planner.avoid(recall.machine());
                settle(recall, Outcome.EXPIRED);
            }
        }
    }

    /** Goes on with an earlier leader's recall once the victims' worker has told of them. */
    private void resume(ActiveRecall recall, double now) {
        boolean known =
                recall.victims().stream()
                        .noneMatch(victim -> victim.state() == TaskAttempt.State.UNKNOWN);
        if (known) {
            stopVictims(recall, now);
        } else if (recall.progress().overdue(now)) {
            abandon(recall);
        }
    }

    /** Gives a recall up; of its victims those who were not told stay. */
    private void abandon(ActiveRecall recall) {
        recall.victims().forEach(this::unmarkRecalled);
        settle(recall, Outcome.EXPIRED);
    }

    /** A new leader hears of machines one by one: none is out of use before it was heard. */
    private static boolean isKnown(Machine machine) {
        return machine.state() != Machine.State.PROVISIONING;
    }

    /** Ends what is promised to a job beyond what it still waits for, the latest first. */
    private void cancelSurplus(Job job) {
        List<ActiveRecall> recalls = reservations.recallsFor(job);
        int waiting = job.active() ? job.startable() : 0;
        for (int i = recalls.size(); i > waiting; i--) {
            settle(recalls.get(i - 1), Outcome.WITHDRAWN);
        }
    }

    private void settle(ActiveRecall recall, Outcome outcome) {
        double now = loop.now();
        if (!recall.progress().settle(now)) {
            return;
        }
        LOG.debug("recall {} for {}: {}", recall.key(), recall.beneficiary().id(), outcome);
        reservations.remove(recall);
        settled.add(recall.key());
        metrics.recallSettled(outcome);
        if (outcome != Outcome.TAKEN_BACK && !recall.victims().isEmpty()) {
            double cost = recall.lostSeconds() + now - recall.decidedAt();
            heldDownCapacity.recalled(
                    recall.beneficiary(), recall.machine(), cost, recall.borrowedSeconds(), now);
        }
    }

    private List<ActiveRecall> decideNew(long round, double now) {
        if (!planner.isDue()) {
            return List.of();
        }
        List<RecallPlan> coming = new ArrayList<>();
        List<ActiveRecall> decided = new ArrayList<>();
        List<Recall> recalls = new ArrayList<>();
        for (RecallPlan plan : planner.plan()) {
            if (plan.needsNoVictims()) {
                coming.add(plan);
                continue;
            }
            double saving =
                    grace.checkpointTimeoutSeconds(grace.longestCheckpointSeconds(plan.victims()));
            Recall recall = recall(plan, round, recalls.size(), loop.timeOfDay() + saving);
            if (!recallLog.hasRoom(recalls, recall)) {
                continue;
            }
            recalls.add(recall);
            double lost = average(plan.victims(), victim -> grace.lostWorkSeconds(victim, now));
            double ran = average(plan.victims(), victim -> victim.ranSeconds(now));
            RecallProgress progress = new RecallProgress(recall, saving, grace.endTimeoutSeconds());
            ActiveRecall active =
                    new ActiveRecall(
                            progress,
                            plan.beneficiary(),
                            plan.machine(),
                            plan.victims(),
                            lost,
                            ran,
                            now);
            active.victims().forEach(this::markRecalled);
            reservations.add(active);
            decided.add(active);
        }
        reservations.setExpectedCapacity(coming);
        return decided;
    }

    private static double average(
            List<TaskAttempt> victims, ToDoubleFunction<TaskAttempt> seconds) {
        return victims.stream().mapToDouble(seconds).average().orElse(0);
    }

    private static Recall recall(RecallPlan plan, long round, int ordinal, double graceEndsAt) {
        List<TaskId> victims =
                plan.victims().stream().map(victim -> victim.claim().task()).toList();
        return Recall.decide(
                round,
                ordinal,
                plan.machine().name(),
                plan.beneficiary().id(),
                Resources.of(plan.beneficiary().spec()),
                victims,
                graceEndsAt);
    }

    private void markRecalled(TaskAttempt victim) {
        victim.markRecalled(true);
        fleet.clusterState().noteLeaving(victim);
    }

    /** The recalls decided last are committed: only now is anybody told to stop. */
    @Override
    public void committed() {
        recallLog.committed();
        settled.clear();
        double now = loop.now();
        List<ActiveRecall> fresh = awaitingCommit;
        awaitingCommit = List.of();
        fresh.forEach(recall -> stopVictims(recall, now));
        sendCommands();
        metrics.recallsCommitted(fresh.size());
    }

    /**
     * Has the victims of a committed recall stopped. A commit may take long; if the demand has
     * fallen or a team would now be left with less than it is entitled to, nobody is told.
     */
    private void stopVictims(ActiveRecall recall, double now) {
        if (isStillNeeded(recall)
                && planner.keepsEntitlements(recall.beneficiary(), recall.victims())) {
            recall.progress().committed(now);
            sendStops(recall);
        } else {
            recall.victims().forEach(this::unmarkRecalled);
            settle(recall, Outcome.TAKEN_BACK);
        }
    }

    private boolean isStillNeeded(ActiveRecall recall) {
        Job job = recall.beneficiary();
        return job.active() && reservations.recallsFor(job).indexOf(recall) < job.startable();
    }

    private void unmarkRecalled(TaskAttempt victim) {
        if (fleet.clusterState().noteStaying(victim)) {
            victim.markRecalled(false);
        }
    }

    private void sendStops(ActiveRecall recall) {
        for (TaskAttempt victim : recall.victims()) {
            metrics.taskRecalled();
            LOG.debug(
                    "{} gives way to {} on {}",
                    victim.claim().task(),
                    recall.beneficiary().id(),
                    recall.machine().name());
            fleet.stop(victim, grace.graceSeconds(victim));
        }
        machinesWithCommands.add(recall.machine());
    }

    /** Sends all halts for one machine together. */
    private void sendCommands() {
        machinesWithCommands.forEach(commandSender);
        machinesWithCommands.clear();
    }
}
