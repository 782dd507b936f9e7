package org.springmill.control.recall;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.springmill.control.cluster.ExhaustedEquivalenceClasses;
import org.springmill.control.cluster.Fleet;
import org.springmill.control.cluster.Job;
import org.springmill.control.cluster.Machine;
import org.springmill.control.cluster.TaskAttempt;
import org.springmill.control.cluster.TeamUsage;
import org.springmill.control.scheduling.MachineRanking;
import org.springmill.control.scheduling.Placement;
import org.springmill.control.timing.Timeouts;
import org.springmill.protocol.Resources;

/**
 * Plans the recalls of one round. For the waiting jobs, in scheduling order, it chooses the
 * machines on which capacity is freed, the number of tasks this is done for, and the tasks that are
 * stopped. Planning changes no task, and no plan leaves a team below its entitlement.
 */
final class RecallPlanner {
    /** How many machines are evaluated and compared before the next ones are considered. */
    private static final int MACHINES_PER_BATCH = 256;

    /**
     * Machines evaluated in one plan, rounded up to whole batches; other jobs are left to later
     * plans.
     */
    private static final int MAX_EVALUATIONS = 1024;

    /** The least interval between plans is the heartbeat interval divided by this. */
    private static final double PLANS_PER_HEARTBEAT_INTERVAL = 16;

    /**
     * Number of plan intervals for which a job is skipped after a plan found too little capacity
     * for it.
     */
    private static final double BACKOFF_INTERVALS = 4;

    private final Fleet fleet;
    private final Placement placement;
    private final RecallReservations reservations;
    private final PlannedRecalls planned = new PlannedRecalls();
    private final ConfirmedUsage confirmed;
    private final RecallRules rules;
    private final RecallBatchSelection batchSelection;
    private final double intervalSeconds;
    private final double avoidanceSeconds;

    /** Jobs for which a plan found too little capacity, with the end of their backoff. */
    private final Map<Job, Double> backoffUntil = new HashMap<>();

    private final Map<Machine, Double> avoidedUntil = new HashMap<>();
    private double plannedAt = Double.NEGATIVE_INFINITY;
    private int evaluationsLeft;

    /** Tasks of one waiting job for which capacity is still missing. */
    private static final class Demand {
        private final Job job;
        private int missingTasks;

        private Demand(Job job, int missingTasks) {
            this.job = job;
            this.missingTasks = missingTasks;
        }
    }

    RecallPlanner(
            Fleet fleet,
            Placement placement,
            RecallReservations reservations,
            GracePeriods grace,
            Timeouts timeouts) {
        this.fleet = fleet;
        this.placement = placement;
        this.reservations = reservations;
        confirmed = new ConfirmedUsage(fleet, timeouts.deadAfterSeconds());
        rules = new RecallRules(fleet.clusterState(), planned, confirmed);
        batchSelection = new RecallBatchSelection(reservations, planned, rules, grace);
        intervalSeconds = timeouts.heartbeatIntervalSeconds() / PLANS_PER_HEARTBEAT_INTERVAL;
        avoidanceSeconds = timeouts.workerLeaseSeconds();
    }

    private TeamUsage usage(Job job) {
        return fleet.clusterState().teamUsage(job.spec().team());
    }

    /**
     * Plans no recalls on a machine for one worker lease; called after a recall there has expired.
     */
    void avoid(Machine machine) {
        avoidedUntil.put(machine, fleet.now() + avoidanceSeconds);
    }

    /** Whether the least interval since the last plan has passed. */
    boolean isDue() {
        return fleet.now() - plannedAt >= intervalSeconds;
    }

    /** Whether the victims' teams still keep their entitlement without the victims. */
    boolean keepsEntitlements(Job beneficiary, List<TaskAttempt> victims) {
        return rules.keepsEntitlements(beneficiary, victims);
    }

    /** Plans recalls for the waiting jobs, in scheduling order. */
    List<RecallPlan> plan() {
        double now = fleet.now();
        reset(now);
        List<Job> waiting = placement.waitingJobs();
        waiting.removeIf(job -> now < job.failures().retryNotBefore());
        List<RecallPlan> plans = new ArrayList<>();
        fleet.clusterState().releaseLimitReservations();
        if (waiting.stream().noneMatch(fleet.clusterState()::mayPreemptFor)) {
            return plans;
        }
        List<Machine> machines = placement.schedulableMachines(now);
        ExhaustedEquivalenceClasses exhausted =
                new ExhaustedEquivalenceClasses(placement.jobsWithReservedCapacity(machines, now));
        for (Job job : waiting) {
            int wantedTasks = wantedTasks(job);
            if (job.spec().isService() && job.startableTaskCount() > 0) {
                usage(job).reserveLimit(job.spec(), job.waitingTaskCount());
            }
            if (wantedTasks <= 0 || !mayPlanFor(job) || exhausted.covers(job)) {
                continue;
            }
            List<RecallPlan> jobPlans = planFor(job, wantedTasks, machines, now);
            if (jobPlans.size() < wantedTasks && evaluationsLeft > 0) {
                exhausted.add(job);
                backoffUntil.put(job, now + BACKOFF_INTERVALS * intervalSeconds);
            }
            plans.addAll(jobPlans);
        }
        return plans;
    }

    private void reset(double now) {
        plannedAt = now;
        evaluationsLeft = MAX_EVALUATIONS;
        backoffUntil.values().removeIf(until -> now >= until);
        avoidedUntil.values().removeIf(until -> now >= until);
        planned.clear();
        confirmed.reset();
    }

    private boolean mayPlanFor(Job job) {
        return evaluationsLeft > 0
                && !placement.wasSkippedByFullRound(job)
                && fleet.clusterState().mayPreemptFor(job)
                && !backoffUntil.containsKey(job);
    }

    /**
     * Number of a job's tasks for which capacity is missing and not reserved yet, within its team's
     * maximum quota.
     */
    private int wantedTasks(Job job) {
        Resources reserved = reservedForTeam(job.spec().team());
        int withinQuota = usage(job).tasksWithinUnreservedLimit(job.spec(), reserved);
        return Math.min(
                job.startableTaskCount() - reservations.reservedTaskCount(job), withinQuota);
    }

    private Resources reservedForTeam(String team) {
        return reservations.reservedForTeam(team).plus(planned.reservedForTeam(team));
    }

    private int guaranteedTasks(Job job) {
        return usage(job).tasksWithinGuarantee(job.spec(), reservedForTeam(job.spec().team()));
    }

    /**
     * Evaluates machines for a job in batches, best scores first, until capacity for all of its
     * tasks is found. Evaluating all machines of a large fleet would take the leader too long.
     */
    private List<RecallPlan> planFor(Job job, int wantedTasks, List<Machine> machines, double now) {
        List<Machine> eligible = eligibleMachines(job, machines, now);
        List<RecallPlan> plans = new ArrayList<>();
        for (int from = 0; from < eligible.size(); from += MACHINES_PER_BATCH) {
            if (plans.size() == wantedTasks || evaluationsLeft <= 0) {
                break;
            }
            int to = Math.min(eligible.size(), from + MACHINES_PER_BATCH);
            evaluationsLeft -= to - from;
            Demand demand = new Demand(job, wantedTasks - plans.size());
            plans.addAll(planOn(eligible.subList(from, to), demand, now));
        }
        if (job.spec().isGang() && plans.size() < wantedTasks) {
            // A gang is placed as a whole or not at all.
            plans.forEach(planned::remove);
            return List.of();
        }
        return plans;
    }

    private List<Machine> eligibleMachines(Job job, List<Machine> machines, double now) {
        List<Machine> eligible = new ArrayList<>(machines);
        eligible.removeIf(
                machine ->
                        avoidedUntil.containsKey(machine)
                                || !Placement.isEligible(job, machine, now));
        if (eligible.size() > MACHINES_PER_BATCH) {
            Map<Machine, Double> scores = new HashMap<>();
            eligible.forEach(
                    machine -> scores.put(machine, placement.score().of(job, machine, now)));
            eligible.sort(Comparator.comparingDouble(scores::get));
        }
        return eligible;
    }

    private List<RecallPlan> planOn(List<Machine> machines, Demand demand, double now) {
        List<RecallPlan> plans = new ArrayList<>();
        MachineRanking ranking =
                new MachineRanking(
                        machines,
                        machine ->
                                bestBatch(demand, machine, now)
                                        .map(RecallBatch::costPerTask)
                                        .orElse(Double.POSITIVE_INFINITY));
        while (demand.missingTasks > 0) {
            Optional<Machine> machine = ranking.best();
            Optional<RecallBatch> batch = machine.flatMap(best -> bestBatch(demand, best, now));
            if (batch.isEmpty()) {
                break;
            }
            demand.missingTasks -= batch.get().tasks();
            plans.addAll(planned.add(demand.job, machine.get(), batch.get()));
        }
        return plans;
    }

    private Optional<RecallBatch> bestBatch(Demand demand, Machine machine, double now) {
        Job job = demand.job;
        RecallBatchSelection.Request request =
                new RecallBatchSelection.Request(
                        job,
                        demand.missingTasks,
                        guaranteedTasks(job),
                        placement.score().of(job, machine, now));
        return batchSelection.best(request, machine, now);
    }
}
