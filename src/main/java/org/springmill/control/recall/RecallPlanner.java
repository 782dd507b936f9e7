package org.springmill.control.recall;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.springmill.control.borrowing.VictimSelection;
import org.springmill.control.borrowing.VictimSelection.Candidate;
import org.springmill.control.cluster.ExhaustedEquivalenceClasses;
import org.springmill.control.cluster.Fleet;
import org.springmill.control.cluster.Job;
import org.springmill.control.cluster.Machine;
import org.springmill.control.cluster.TaskAttempt;
import org.springmill.control.cluster.TeamUsage;
import org.springmill.control.scheduling.MachineRanking;
import org.springmill.control.scheduling.Placement;
import org.springmill.control.scheduling.PreemptionPolicy;
import org.springmill.control.timing.Timeouts;
import org.springmill.protocol.Priority;
import org.springmill.protocol.Resources;
import org.springmill.protocol.Submission;

/**
 * Chooses the recalls of one round: for all waiting jobs together, in the order of their right, on
 * which machines room is made for how many of their tasks, and what is stopped there. Nothing is
 * changed by it. No team is left with less than it is entitled to.
 */
final class RecallPlanner {
    /** Machines that are compared with each other before others are looked at. */
    private static final int MACHINES_AT_A_TIME = 256;

    /** So many machines are looked at in one plan; what is left has its turn in the next ones. */
    private static final int MAX_EVALUATIONS = 1024;

    /** Plans are at least so many to a report interval apart. */
    private static final double PLANS_PER_REPORT = 16;

    /** A job for which nothing was found is not looked at for so many plans. */
    private static final double FRUITLESS_INTERVALS = 4;

    private final Fleet fleet;
    private final Placement placement;
    private final RecallReservations reservations;
    private final GracePeriods grace;

    /** A task that no report has named for this long may not run any more. */
    private final double silentSeconds;

    private final double intervalSeconds;
    private double plannedAt = Double.NEGATIVE_INFINITY;
    private int evaluationsLeft;
    private final double leaseSeconds;
    private final Map<Job, Double> fruitlessUntil = new HashMap<>();
    private final Map<Machine, Double> avoidedUntil = new HashMap<>();

    /** Tasks that are to be stopped by what is planned so far, and what their teams lose. */
    private final Set<TaskAttempt> chosen = new HashSet<>();

    private final Map<String, Resources> lossByTeam = new HashMap<>();

    /** What each team is known to run; null until it is asked for in a plan. */
    private Map<String, Resources> confirmedByTeam;

    private final Map<Machine, Resources> plannedOn = new HashMap<>();
    private final Map<String, Resources> plannedForTeam = new HashMap<>();

    /**
     * Room for one task.
     *
     * @param victims what is stopped on the machine; empty if that of others suffices
     * @param roomComes whether nothing has to be stopped, since enough is leaving already
     */
    record Plan(Job beneficiary, Machine machine, List<TaskAttempt> victims, boolean roomComes) {}

    /** Tasks that can only be stopped together: one task, or the members of a gang. */
    private record Unit(Job job, List<TaskAttempt> onMachine, Resources loss) {}

    /** What one machine has for a beneficiary, whatever the number of its tasks. */
    private record Offer(Resources free, List<Candidate<Unit>> candidates) {}

    /** Room for a number of tasks of a job on one machine. */
    private record Batch(int tasks, List<TaskAttempt> victims, double costSeconds) {
        double costPerTask() {
            return costSeconds / tasks;
        }
    }

    RecallPlanner(
            Fleet fleet,
            Placement placement,
            RecallReservations reservations,
            GracePeriods grace,
            Timeouts timeouts) {
        silentSeconds = timeouts.deadAfterSeconds();
        leaseSeconds = timeouts.workerLeaseSeconds();
        intervalSeconds = timeouts.heartbeatIntervalSeconds() / PLANS_PER_REPORT;
        this.fleet = fleet;
        this.placement = placement;
        this.reservations = reservations;
        this.grace = grace;
    }

    private TeamUsage usage(Job job) {
        return fleet.clusterState().usage(job.spec().team());
    }

    /** Recalls nobody on a machine for a lease: somebody who was to go there did not. */
    void avoid(Machine machine) {
        avoidedUntil.put(machine, fleet.now() + leaseSeconds);
    }

    /** Whether the last plan is long enough ago for another. */
    boolean isDue() {
        return fleet.now() - plannedAt >= intervalSeconds;
    }

    /** The recalls that are worth deciding now, the best right first. */
    List<Plan> plan() {
        double now = fleet.now();
        plannedAt = now;
        evaluationsLeft = MAX_EVALUATIONS;
        fruitlessUntil.values().removeIf(until -> now >= until);
        avoidedUntil.values().removeIf(until -> now >= until);
        forgetLastPlan();
        List<Job> waiting = placement.waiting();
        waiting.removeIf(job -> now < job.failures().notBefore());
        List<Plan> plans = new ArrayList<>();
        fleet.clusterState().releaseHeld();
        if (waiting.stream().noneMatch(fleet.clusterState()::mayPreemptFor)) {
            return plans;
        }
        List<Machine> open = placement.schedulableMachines(now);
        ExhaustedEquivalenceClasses exhausted =
                new ExhaustedEquivalenceClasses(placement.jobsWithReservedCapacity(open, now));
        for (Job job : waiting) {
            int wanted = wanted(job);
            if (job.spec().service() && job.startable() > 0) {
                usage(job).hold(job.spec(), job.waiting());
            }
            if (wanted <= 0
                    || evaluationsLeft <= 0
                    || placement.skippedByFullRound(job)
                    || !fleet.clusterState().mayPreemptFor(job)
                    || fruitlessUntil.containsKey(job)
                    || exhausted.cover(job)) {
                continue;
            }
            List<Plan> ofJob = planFor(job, wanted, open, now);
            if (ofJob.size() < wanted && evaluationsLeft > 0) {
                exhausted.add(job);
                fruitlessUntil.put(job, now + FRUITLESS_INTERVALS * intervalSeconds);
            }
            plans.addAll(ofJob);
        }
        return plans;
    }

    private void forgetLastPlan() {
        chosen.clear();
        lossByTeam.clear();
        plannedOn.clear();
        plannedForTeam.clear();
        confirmedByTeam = null;
    }

    /** For how many tasks of a job room is missing, beside what is promised to it already. */
    private int wanted(Job job) {
        Resources promised = promisedToTeam(job.spec().team());
        int byLimit = usage(job).roomBesideHeld(job.spec(), promised);
        return Math.min(job.startable() - reservations.count(job), byLimit);
    }

    private Resources promisedToTeam(String team) {
        return reservations
                .reservedForTeam(team)
                .plus(plannedForTeam.getOrDefault(team, Resources.NONE));
    }

    private int guaranteedRoom(Job job) {
        return usage(job).guaranteedRoomFor(job.spec(), promisedToTeam(job.spec().team()));
    }

    /**
     * Looks at the machines on which a job would wait least, some hundred at a time, until room for
     * all of its tasks is found: all machines of a large fleet would take a leader too long.
     */
    private List<Plan> planFor(Job job, int wanted, List<Machine> open, double now) {
        List<Machine> eligible = new ArrayList<>(open);
        eligible.removeIf(
                machine ->
                        avoidedUntil.containsKey(machine)
                                || !Placement.isEligible(job, machine, now));
        if (eligible.size() > MACHINES_AT_A_TIME) {
            Map<Machine, Double> scores = new HashMap<>();
            eligible.forEach(m -> scores.put(m, placement.score().of(job, m, now)));
            eligible.sort(Comparator.comparingDouble(scores::get));
        }
        List<Plan> plans = new ArrayList<>();
        for (int from = 0; from < eligible.size(); from += MACHINES_AT_A_TIME) {
            if (plans.size() == wanted || evaluationsLeft <= 0) {
                break;
            }
            int to = Math.min(eligible.size(), from + MACHINES_AT_A_TIME);
            evaluationsLeft -= to - from;
            plans.addAll(planOn(eligible.subList(from, to), job, wanted - plans.size(), now));
        }
        if (job.spec().gang() && plans.size() < wanted) {
            // Room for some members is of no use to a gang.
            plans.forEach(this::forget);
            return List.of();
        }
        return plans;
    }

    private List<Plan> planOn(List<Machine> machines, Job job, int wanted, double now) {
        List<Plan> plans = new ArrayList<>();
        int[] made = new int[1];
        MachineRanking ranking =
                new MachineRanking(
                        machines,
                        machine ->
                                best(job, wanted - made[0], machine, now)
                                        .map(Batch::costPerTask)
                                        .orElse(Double.POSITIVE_INFINITY));
        while (made[0] < wanted) {
            Machine machine = ranking.best();
            Optional<Batch> batch =
                    machine == null ? Optional.empty() : best(job, wanted - made[0], machine, now);
            if (batch.isEmpty()) {
                break;
            }
            made[0] += batch.get().tasks();
            plans.addAll(note(job, machine, batch.get()));
        }
        return plans;
    }

    /** The number of tasks for which room costs least on a machine, for each of them. */
    private Optional<Batch> best(Job job, int most, Machine machine, double now) {
        Offer offer = offer(machine, now);
        int guaranteedRoom = guaranteedRoom(job);
        double scoreSeconds = placement.score().of(job, machine, now);
        Batch best = null;
        boolean zoneBound = job.spec().oneZone() || job.spec().spread();
        int largest = zoneBound ? 1 : most;
        for (int tasks = 1; tasks <= largest; tasks = next(tasks, largest)) {
            Optional<Batch> batch = batch(job, tasks, offer, tasks <= guaranteedRoom, scoreSeconds);
            if (batch.isEmpty()) {
                break;
            }
            if (best == null || batch.get().costPerTask() < best.costPerTask()) {
                best = batch.get();
            }
        }
        return Optional.ofNullable(best);
    }

    /** One, two, four and so on, and the largest number last. */
    private static int next(int tasks, int largest) {
        return tasks < largest ? Math.min(largest, 2 * tasks) : largest + 1;
    }

    /** What is free on a machine or will be, and what could be stopped there. */
    private Offer offer(Machine machine, double now) {
        List<Candidate<Unit>> candidates = new ArrayList<>();
        Resources free =
                machine.free()
                        .minus(reservations.reservedOn(machine))
                        .minus(plannedOn.getOrDefault(machine, Resources.NONE));
        Map<Job, List<TaskAttempt>> gangs = new LinkedHashMap<>();
        for (TaskAttempt attempt : machine.attempts()) {
            if (isLeaving(attempt)) {
                free = comesFree(attempt, now) ? free.plus(attempt.job().spec()) : free;
            } else if (attempt.state() != TaskAttempt.State.CLAIMING
                    && attempt.job().spec().gang()) {
                gangs.computeIfAbsent(attempt.job(), g -> new ArrayList<>()).add(attempt);
            } else if (attempt.state() != TaskAttempt.State.CLAIMING) {
                Resources size = Resources.of(attempt.job().spec());
                candidates.add(candidate(new Unit(attempt.job(), List.of(attempt), size), now));
            }
        }
        gangs.forEach((gang, members) -> candidates.add(candidate(gangUnit(gang, members), now)));
        return new Offer(free, candidates);
    }

    private Optional<Batch> batch(
            Job job, int tasks, Offer offer, boolean guaranteed, double scoreSeconds) {
        return VictimSelection.choose(
                        offer.free(),
                        Resources.of(job.spec()).times(tasks),
                        offer.candidates(),
                        (unit, others) -> mayStop(unit, job, guaranteed, others))
                .map(choice -> batch(tasks, choice, scoreSeconds));
    }

    private Batch batch(int tasks, VictimSelection.Choice<Unit> choice, double scoreSeconds) {
        List<TaskAttempt> victims = new ArrayList<>();
        choice.victims().forEach(unit -> victims.addAll(unit.onMachine()));
        double cost = tasks * (scoreSeconds + grace.longestCheckpointSeconds(victims));
        return new Batch(tasks, victims, cost + choice.costSeconds());
    }

    private static Unit gangUnit(Job gang, List<TaskAttempt> members) {
        Resources all = Resources.of(gang.spec()).times(gang.liveCount());
        return new Unit(gang, members, all);
    }

    /** Stopping one member of a gang costs what all of its members have done. */
    private Candidate<Unit> candidate(Unit unit, double now) {
        Submission spec = unit.job().spec();
        List<TaskAttempt> stopped = spec.gang() ? unit.job().attempts() : unit.onMachine();
        double cost = 0;
        for (TaskAttempt attempt : stopped) {
            cost += PreemptionPolicy.VICTIM_COST_SECONDS + grace.lostWorkSeconds(attempt, now);
        }
        Resources frees = Resources.of(spec).times(unit.onMachine().size());
        return new Candidate<>(unit, unit.job().priority(), frees, cost);
    }

    /** Whether the room of a task that leaves can be counted on. */
    private boolean comesFree(TaskAttempt attempt, double now) {
        boolean overdue =
                attempt.state() == TaskAttempt.State.STOPPING
                        && now - attempt.stateSince() > grace.stopTimeoutSeconds(attempt);
        return !attempt.released() && !overdue;
    }

    private boolean isLeaving(TaskAttempt attempt) {
        return attempt.recalled()
                || chosen.contains(attempt)
                || attempt.state() == TaskAttempt.State.STOPPING
                || attempt.state() == TaskAttempt.State.ENDED;
    }

    /**
     * The grounds for stopping one job's task for another's. A team's own work gives way to its own
     * of higher priority. Work of another team gives way to a higher priority, and work of no
     * higher priority to what a team is guaranteed, but never below what its team is entitled to.
     */
    private boolean mayStop(Unit victim, Job job, boolean guaranteed, List<Unit> others) {
        Priority right = job.priority();
        Priority lost = victim.job().priority();
        String team = victim.job().spec().team();
        if (team.equals(job.spec().team())) {
            return right.above(lost);
        }
        if (!right.above(lost) && (!guaranteed || lost.above(right))) {
            return false;
        }
        if (!victim.onMachine().stream().allMatch(this::isConfirmed)) {
            return false;
        }
        Resources loss = lossByTeam.getOrDefault(team, Resources.NONE).plus(victim.loss());
        for (Unit other : others) {
            if (other.job().spec().team().equals(team)) {
                loss = loss.plus(other.loss());
            }
        }
        return usage(victim.job()).keepsEntitlementWithout(loss, confirmed(team));
    }

    /**
     * Whether the teams of victims that are marked already keep what they are entitled to without
     * them. Told apart from the choice because a commit may take long, and what a team runs changes
     * meanwhile.
     */
    boolean keepsEntitlements(Job beneficiary, List<TaskAttempt> victims) {
        forgetLastPlan();
        Map<String, Resources> losses = new HashMap<>();
        for (TaskAttempt victim : victims) {
            String team = victim.job().spec().team();
            if (!team.equals(beneficiary.spec().team()) && isConfirmed(victim)) {
                losses.merge(team, Resources.of(victim.job().spec()), Resources::plus);
            }
        }
        return losses.entrySet().stream()
                .allMatch(
                        loss ->
                                fleet.clusterState()
                                        .usage(loss.getKey())
                                        .keepsEntitlementWithout(
                                                loss.getValue(),
                                                confirmed(loss.getKey()).plus(loss.getValue())));
    }

    /**
     * What a team is known to run. A task that no report has named lately may not run any more, or
     * may never have: counted, it let a team lose what it really ran.
     */
    private Resources confirmed(String team) {
        if (confirmedByTeam == null) {
            confirmedByTeam = new HashMap<>();
            for (Machine machine : fleet.machines()) {
                for (TaskAttempt attempt : machine.attempts()) {
                    if (isConfirmed(attempt) && !attempt.recalled()) {
                        Submission spec = attempt.job().spec();
                        confirmedByTeam.merge(spec.team(), Resources.of(spec), Resources::plus);
                    }
                }
            }
        }
        return confirmedByTeam.getOrDefault(team, Resources.NONE);
    }

    private boolean isConfirmed(TaskAttempt attempt) {
        boolean seen =
                attempt.state() == TaskAttempt.State.RUNNING
                        || attempt.state() == TaskAttempt.State.FETCHING;
        return seen && fleet.now() - attempt.lastReported() < silentSeconds;
    }

    /** Takes a batch into account and splits it into plans for single tasks. */
    private List<Plan> note(Job job, Machine machine, Batch batch) {
        Resources each = Resources.of(job.spec());
        plannedOn.merge(machine, each.times(batch.tasks()), Resources::plus);
        plannedForTeam.merge(job.spec().team(), each.times(batch.tasks()), Resources::plus);
        batch.victims().forEach(victim -> noteVictim(victim, 1));
        List<Plan> plans = new ArrayList<>();
        List<TaskAttempt> left = new ArrayList<>(batch.victims());
        for (int i = batch.tasks(); i > 0; i--) {
            // Each has its part of the victims, so that less is stopped if the demand falls.
            int part = (left.size() + i - 1) / i;
            List<TaskAttempt> victims = new ArrayList<>(left.subList(0, part));
            left.subList(0, part).clear();
            plans.add(new Plan(job, machine, victims, batch.victims().isEmpty()));
        }
        return plans;
    }

    private void forget(Plan plan) {
        Resources amount = Resources.of(plan.beneficiary().spec());
        plannedOn.merge(plan.machine(), amount.times(-1), Resources::plus);
        String team = plan.beneficiary().spec().team();
        plannedForTeam.merge(team, amount.times(-1), Resources::plus);
        plan.victims().forEach(victim -> noteVictim(victim, -1));
    }

    private void noteVictim(TaskAttempt victim, int sign) {
        Submission spec = victim.job().spec();
        List<TaskAttempt> stopped = spec.gang() ? victim.job().attempts() : List.of(victim);
        for (TaskAttempt attempt : stopped) {
            boolean change = sign > 0 ? chosen.add(attempt) : chosen.remove(attempt);
            if (change) {
                lossByTeam.merge(spec.team(), Resources.of(spec).times(sign), Resources::plus);
            }
        }
    }
}
