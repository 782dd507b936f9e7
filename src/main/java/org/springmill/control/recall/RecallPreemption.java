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
    private final RecallLog log;
    private final RecallPlanner planner;
    private final RecallReservations promises;
    private final HoldDownCapacity heldDownCapacity;
    private final GracePeriods grace;
    private final Metrics metrics;
    private final Consumer<Machine> poke;

    /** What earlier leaders left, until jobs and attempts are known. */
    private Collection<Recall> inherited = List.of();

    private final Set<String> settled = new HashSet<>();
    private final Set<Machine> toPoke = new LinkedHashSet<>();
    private List<ActiveRecall> committing = List.of();

    /**
     * @param poke sends a machine the commands that are due
     */
    RecallPreemption(
            Fleet fleet,
            EventLoop loop,
            Timeouts timeouts,
            RecallLog log,
            RecallPlanner planner,
            RecallReservations promises,
            HoldDownCapacity heldDownCapacity,
            GracePeriods grace,
            Metrics metrics,
            Consumer<Machine> poke) {
        this.fleet = fleet;
        this.loop = loop;
        this.timeouts = timeouts;
        this.log = log;
        this.planner = planner;
        this.promises = promises;
        this.heldDownCapacity = heldDownCapacity;
        this.grace = grace;
        this.metrics = metrics;
        this.poke = poke;
    }

    @Override
    public void load(Consumer<Boolean> done) {
        log.load(
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
        List<TaskAttempt> victims = victims(recall, machine);
        double saving = grace.boundOnSaving(grace.longestSaveSeconds(victims));
        double graceLeft = recall.graceEndsAt() - loop.timeOfDay();
        RecallProgress progress = new RecallProgress(recall, saving, grace.boundOnEnding());
        progress.inherited(
                Math.max(0, Math.min(graceLeft, saving)) + grace.boundOnEnding(), loop.now());
        promises.add(new ActiveRecall(progress, beneficiary, machine, victims, 0, 0, loop.now()));
        victims.forEach(this::markRecalled);
    }

    private static boolean hasClaimSince(Job job, Machine machine, Recall recall) {
        return job.attempts().stream()
                .anyMatch(
                        attempt ->
                                attempt.machine() == machine
                                        && attempt.claim().round() > recall.round());
    }

    private List<TaskAttempt> victims(Recall recall, Machine machine) {
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
            heldDownCapacity.taskLeft(attempt, now);
        }
    }

    @Override
    public List<Write> decide(long round, List<TaskAttempt> claimed) {
        double now = loop.now();
        heldDownCapacity.expire(now);
        claimed.forEach(attempt -> heldDownCapacity.taskPlaced(attempt, now));
        claimed.forEach(this::fulfil);
        promises.all().forEach(recall -> advance(recall, now));
        pokeMachines();
        promises.beneficiaries().forEach(this::withdrawSurplus);
        committing = decideNew(round, now);
        List<Recall> decided =
                committing.stream().map(active -> active.progress().recall()).toList();
        return log.stage(round, decided, settled);
    }

    /** The claim of a beneficiary and the end of its promise are one transaction. */
    private void fulfil(TaskAttempt claimed) {
        promises.recallsFor(claimed.job()).stream()
                .filter(recall -> recall.machine() == claimed.machine())
                .findFirst()
                .ifPresent(recall -> settle(recall, Outcome.FULFILLED));
    }

    /** Applies the bounds on each step of a recall. */
    private void advance(ActiveRecall recall, double now) {
        if (!recall.machine().isSchedulable(now, timeouts.suspectAfterSeconds())
                && isKnown(recall.machine())) {
            giveUp(recall);
        } else if (recall.progress().state() == State.COMMITTING) {
            carryOn(recall, now);
        } else if (recall.progress().overdue(now)) {
            if (recall.progress().state() == State.SAVING) {
                recall.progress().graceEnded(now);
                recall.victims().stream()
                        .filter(victim -> victim.state() == TaskAttempt.State.STOPPING)
                        .forEach(victim -> fleet.stop(victim, 0));
                toPoke.add(recall.machine());
            } else {
                planner.avoid(recall.machine());
                settle(recall, Outcome.EXPIRED);
            }
        }
    }

    /** Goes on with an earlier leader's recall once the victims' worker has told of them. */
    private void carryOn(ActiveRecall recall, double now) {
        boolean known =
                recall.victims().stream()
                        .noneMatch(victim -> victim.state() == TaskAttempt.State.UNKNOWN);
        if (known) {
            tellVictims(recall, now);
        } else if (recall.progress().overdue(now)) {
            giveUp(recall);
        }
    }

    /** Gives a recall up; of its victims those who were not told stay. */
    private void giveUp(ActiveRecall recall) {
        recall.victims().forEach(this::unmarkRecalled);
        settle(recall, Outcome.EXPIRED);
    }

    /** A new leader hears of machines one by one: none is out of use before it was heard. */
    private static boolean isKnown(Machine machine) {
        return machine.state() != Machine.State.PROVISIONING;
    }

    /** Ends what is promised to a job beyond what it still waits for, the latest first. */
    private void withdrawSurplus(Job job) {
        List<ActiveRecall> recalls = promises.recallsFor(job);
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
        promises.remove(recall);
        settled.add(recall.key());
        metrics.recallSettled(outcome);
        if (outcome != Outcome.TAKEN_BACK && !recall.victims().isEmpty()) {
            double cost = recall.lostSeconds() + now - recall.decidedAt();
            heldDownCapacity.recalled(
                    recall.beneficiary(), recall.machine(), cost, recall.loanSeconds(), now);
        }
    }

    private List<ActiveRecall> decideNew(long round, double now) {
        if (!planner.isDue()) {
            return List.of();
        }
        List<RecallPlanner.Plan> coming = new ArrayList<>();
        List<ActiveRecall> decided = new ArrayList<>();
        List<Recall> recalls = new ArrayList<>();
        for (RecallPlanner.Plan plan : planner.plan()) {
            if (plan.roomComes()) {
                coming.add(plan);
                continue;
            }
            double saving = grace.boundOnSaving(grace.longestSaveSeconds(plan.victims()));
            Recall recall = recall(plan, round, recalls.size(), loop.timeOfDay() + saving);
            if (!log.hasRoom(recalls, recall)) {
                continue;
            }
            recalls.add(recall);
            double lost = average(plan.victims(), victim -> grace.lostWork(victim, now));
            double ran = average(plan.victims(), victim -> victim.ranSeconds(now));
            RecallProgress progress = new RecallProgress(recall, saving, grace.boundOnEnding());
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
            promises.add(active);
            decided.add(active);
        }
        promises.setExpectedCapacity(coming);
        return decided;
    }

    private static double average(
            List<TaskAttempt> victims, ToDoubleFunction<TaskAttempt> seconds) {
        return victims.stream().mapToDouble(seconds).average().orElse(0);
    }

    private static Recall recall(
            RecallPlanner.Plan plan, long round, int ordinal, double graceEndsAt) {
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
        log.committed();
        settled.clear();
        double now = loop.now();
        List<ActiveRecall> fresh = committing;
        committing = List.of();
        fresh.forEach(recall -> tellVictims(recall, now));
        pokeMachines();
        metrics.recallsCommitted(fresh.size());
    }

    /**
     * Has the victims of a committed recall stopped. A commit may take long; if the demand has
     * fallen or a team would now be left with less than it is entitled to, nobody is told.
     */
    private void tellVictims(ActiveRecall recall, double now) {
        if (isStillWanted(recall)
                && planner.keepsEntitlements(recall.beneficiary(), recall.victims())) {
            recall.progress().committed(now);
            halt(recall);
        } else {
            recall.victims().forEach(this::unmarkRecalled);
            settle(recall, Outcome.TAKEN_BACK);
        }
    }

    private boolean isStillWanted(ActiveRecall recall) {
        Job job = recall.beneficiary();
        return job.active() && promises.recallsFor(job).indexOf(recall) < job.startable();
    }

    private void unmarkRecalled(TaskAttempt victim) {
        if (fleet.clusterState().noteStaying(victim)) {
            victim.markRecalled(false);
        }
    }

    private void halt(ActiveRecall recall) {
        for (TaskAttempt victim : recall.victims()) {
            metrics.taskRecalled();
            LOG.debug(
                    "{} gives way to {} on {}",
                    victim.claim().task(),
                    recall.beneficiary().id(),
                    recall.machine().name());
            fleet.stop(victim, grace.graceSeconds(victim));
        }
        toPoke.add(recall.machine());
    }

    /** Sends all halts for one machine together. */
    private void pokeMachines() {
        toPoke.forEach(poke);
        toPoke.clear();
    }
}
