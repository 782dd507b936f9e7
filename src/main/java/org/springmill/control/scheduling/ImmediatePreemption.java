package org.springmill.control.scheduling;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.springmill.control.cluster.ExhaustedEquivalenceClasses;
import org.springmill.control.cluster.Fleet;
import org.springmill.control.cluster.Job;
import org.springmill.control.cluster.Machine;
import org.springmill.control.cluster.TaskAttempt;
import org.springmill.control.cluster.TeamUsage;
import org.springmill.control.timing.Timeouts;
import org.springmill.protocol.KeyValueStoreMessages.Write;
import org.springmill.protocol.Resources;
import org.springmill.protocol.Submission;

/** Stops the victims of a preemption immediately, without a stored record of the decision. */
public final class ImmediatePreemption implements PreemptionPolicy {
    private static final Logger LOG = LoggerFactory.getLogger(ImmediatePreemption.class);

    private final Fleet fleet;
    private final Placement placement;
    private final Timeouts timeouts;
    private final PreemptionVictims victims;

    /**
     * Capacity on each machine that this round has assigned to tasks for which it frees capacity.
     */
    private final Map<Machine, Resources> assignedByMachine = new HashMap<>();

    /** Creates the policy of one leader's term. */
    public ImmediatePreemption(Fleet fleet, Placement placement, Timeouts timeouts) {
        this.fleet = fleet;
        this.placement = placement;
        this.timeouts = timeouts;
        this.victims = new PreemptionVictims(fleet.clusterState());
    }

    /**
     * How many tasks of a waiting job this round has to free capacity for, and for how many it has.
     */
    private static final class Demand {
        private final Job job;
        private final int wantedTasks;
        private final int guaranteedTasks;
        private int freedTasks;

        private Demand(Job job, int wantedTasks, int guaranteedTasks) {
            this.job = job;
            this.wantedTasks = wantedTasks;
            this.guaranteedTasks = guaranteedTasks;
        }

        private boolean isMet() {
            return freedTasks >= wantedTasks;
        }

        /** Whether one more task is within the team's guaranteed quota. */
        private boolean nextIsGuaranteed() {
            return freedTasks < guaranteedTasks;
        }
    }

    private TeamUsage usage(Job job) {
        return fleet.clusterState().teamUsage(job.spec().team());
    }

    @Override
    public List<Write> decide(long round, List<TaskAttempt> claimed) {
        preemptForWaitingJobs();
        return List.of();
    }

    private void preemptForWaitingJobs() {
        double now = fleet.now();
        List<Job> waiting = placement.waitingJobs();
        waiting.removeIf(job -> now < job.failures().retryNotBefore());
        if (waiting.stream().noneMatch(fleet.clusterState()::mayPreemptFor)) {
            return;
        }
        List<Machine> machines = placement.schedulableMachines(now);
        assignedByMachine.clear();
        fleet.clusterState().releaseLimitReservations();
        ExhaustedEquivalenceClasses exhausted =
                new ExhaustedEquivalenceClasses(placement.jobsWithReservedCapacity(machines, now));
        for (Job job : waiting) {
            int wantedTasks = wantedTasks(job);
            if (job.spec().isService() && wantedTasks > 0) {
                usage(job).reserveLimit(job.spec(), job.waitingTaskCount());
            }
            if (wantedTasks <= 0
                    || placement.wasSkippedByFullRound(job)
                    || !fleet.clusterState().mayPreemptFor(job)
                    || exhausted.covers(job)) {
                continue;
            }
            Demand demand =
                    new Demand(job, wantedTasks, usage(job).tasksWithinGuarantee(job.spec()));
            preemptFor(demand, machines, now);
            if (!demand.isMet()) {
                exhausted.add(job);
            }
        }
    }

    /**
     * Number of a job's waiting tasks that its team's maximum quota allows, without the part
     * reserved for earlier jobs. Placement has to count in the same way: when it did not, tasks
     * were preempted again and again for a job that placement then rejected.
     */
    private int wantedTasks(Job job) {
        return Math.min(
                job.startableTaskCount(), usage(job).tasksWithinUnreservedLimit(job.spec()));
    }

    private void preemptFor(Demand demand, List<Machine> machines, double now) {
        MachineRanking ranking =
                new MachineRanking(machines, machine -> cost(demand, machine, now));
        while (!demand.isMet()) {
            Optional<Machine> machine = ranking.best();
            if (machine.isEmpty()) {
                return;
            }
            preemptForNextTask(demand, machine.get(), now);
            demand.freedTasks++;
        }
    }

    /** Frees capacity for one task, unless enough is being freed already. */
    private void preemptForNextTask(Demand demand, Machine machine, double now) {
        Job job = demand.job;
        List<TaskAttempt> chosen = victims(demand, machine, now).orElseThrow();
        assignedByMachine.put(machine, assignedCapacity(machine).plus(job.spec()));
        double checkpointSeconds = 0;
        for (TaskAttempt victim : chosen) {
            Submission spec = victim.job().spec();
            checkpointSeconds = Math.max(checkpointSeconds, spec.checkpointSaveSeconds());
            LOG.debug(
                    "preempting task {} of team {} for job {} of team {} on machine {}",
                    victim.claim().task(),
                    spec.team(),
                    job.id(),
                    job.spec().team(),
                    machine.name());
            fleet.stopWithCheckpoint(victim);
        }
        machine.allocation()
                .reserveFor(job, now + checkpointSeconds + timeouts.heartbeatIntervalSeconds());
    }

    /** The cost of freeing capacity for one task on a machine; infinite if it is impossible. */
    private double cost(Demand demand, Machine machine, double now) {
        if (!Placement.isEligible(demand.job, machine, now)) {
            return Double.POSITIVE_INFINITY;
        }
        Optional<List<TaskAttempt>> chosen = victims(demand, machine, now);
        if (chosen.isEmpty()) {
            return Double.POSITIVE_INFINITY;
        }
        double cost = placement.score().of(demand.job, machine, now);
        for (TaskAttempt victim : chosen.get()) {
            cost += VICTIM_COST_SECONDS + PreemptionVictims.lostWorkSeconds(victim, now);
        }
        return cost;
    }

    private Optional<List<TaskAttempt>> victims(Demand demand, Machine machine, double now) {
        return victims.select(
                demand.job, demand.nextIsGuaranteed(), machine, assignedCapacity(machine), now);
    }

    private Resources assignedCapacity(Machine machine) {
        return assignedByMachine.getOrDefault(machine, Resources.NONE);
    }
}
