package org.springmill.control.scheduling;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
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
import org.springmill.protocol.Priority;
import org.springmill.protocol.Resources;
import org.springmill.protocol.Submission;

/** Chooses what is stopped for waiting jobs that find no place otherwise. */
public final class ImmediatePreemption implements PreemptionPolicy {
    private static final Logger LOG = LoggerFactory.getLogger(ImmediatePreemption.class);

    private final Fleet fleet;
    private final Placement placement;
    private final Timeouts timeouts;

    public ImmediatePreemption(Fleet fleet, Placement placement, Timeouts timeouts) {
        this.fleet = fleet;
        this.placement = placement;
        this.timeouts = timeouts;
    }

    private TeamUsage usage(Job job) {
        return fleet.clusterState().usage(job.spec().team());
    }

    /** Stops work of lower right at once where a waiting job finds no place otherwise. */
    @Override
    public List<Write> decide(long round, List<TaskAttempt> claimed) {
        preemptForWaitingJobs();
        return List.of();
    }

    private void preemptForWaitingJobs() {
        double now = fleet.now();
        List<Job> waiting = placement.waiting();
        waiting.removeIf(job -> now < job.failures().notBefore());
        if (waiting.stream().noneMatch(fleet.clusterState()::mayPreemptFor)) {
            return;
        }
        List<Machine> open = placement.schedulableMachines(now);
        Map<Machine, Resources> plannedByMachine = new HashMap<>();
        fleet.clusterState().releaseHeld();
        ExhaustedEquivalenceClasses exhausted =
                new ExhaustedEquivalenceClasses(placement.jobsWithReservedCapacity(open, now));
        for (Job job : waiting) {
            // By the same measure as placement: tasks gave way, without end, to a job whose part of
            // its team's limit was held for an earlier one.
            int wanted = Math.min(job.startable(), usage(job).roomBesideHeld(job.spec()));
            if (job.spec().service() && wanted > 0) {
                usage(job).hold(job.spec(), job.waiting());
            }
            if (wanted <= 0
                    || placement.skippedByFullRound(job)
                    || !fleet.clusterState().mayPreemptFor(job)
                    || exhausted.cover(job)) {
                continue;
            }
            int guaranteed = usage(job).guaranteedRoomFor(job.spec());
            int[] made = new int[1];
            MachineRanking ranking =
                    new MachineRanking(
                            open,
                            machine ->
                                    cost(
                                            job,
                                            made[0] < guaranteed,
                                            machine,
                                            plannedByMachine,
                                            now));
            for (; made[0] < wanted; made[0]++) {
                Machine machine = ranking.best();
                if (machine == null) {
                    exhausted.add(job);
                    break;
                }
                preemptForOneTask(job, made[0] < guaranteed, machine, plannedByMachine, now);
            }
        }
    }

    /** Frees room for one task, unless enough is being freed already. */
    private void preemptForOneTask(
            Job job,
            boolean guaranteed,
            Machine machine,
            Map<Machine, Resources> plannedByMachine,
            double now) {
        List<TaskAttempt> victims =
                selectVictims(job, guaranteed, machine, plannedByMachine.get(machine), now);
        plannedByMachine.put(
                machine, plannedByMachine.getOrDefault(machine, Resources.NONE).plus(job.spec()));
        double savingSeconds = 0;
        for (TaskAttempt victim : victims) {
            Submission spec = victim.job().spec();
            savingSeconds = Math.max(savingSeconds, spec.checkpointSaveSeconds());
            LOG.debug(
                    "{} of {} gives way to {} of {} on {}",
                    victim.claim().task(),
                    spec.team(),
                    job.id(),
                    job.spec().team(),
                    machine.name());
            fleet.stopWithCheckpoint(victim);
        }
        machine.allocation()
                .reserveFor(job, now + savingSeconds + timeouts.heartbeatIntervalSeconds());
    }

    /** What it costs to make room for one task on a machine; infinite if it cannot be done. */
    private double cost(
            Job job,
            boolean guaranteed,
            Machine machine,
            Map<Machine, Resources> plannedByMachine,
            double now) {
        if (!Placement.isEligible(job, machine, now)) {
            return Double.POSITIVE_INFINITY;
        }
        List<TaskAttempt> victims =
                selectVictims(job, guaranteed, machine, plannedByMachine.get(machine), now);
        if (victims == null) {
            return Double.POSITIVE_INFINITY;
        }
        double cost = placement.score().of(job, machine, now);
        for (TaskAttempt victim : victims) {
            cost += VICTIM_COST_SECONDS + lostWorkSeconds(victim, now);
        }
        return cost;
    }

    /**
     * What has to be stopped on a machine for one more task of a job to fit; null if it cannot.
     *
     * @param plannedByMachine what is being freed there for other tasks, or null
     */
    private List<TaskAttempt> selectVictims(
            Job job, boolean guaranteed, Machine machine, Resources plannedByMachine, double now) {
        Resources free = machine.free();
        if (plannedByMachine != null) {
            free = free.minus(plannedByMachine);
        }
        List<TaskAttempt> candidates = new ArrayList<>();
        for (TaskAttempt attempt : machine.attempts()) {
            if (isLeaving(attempt)) {
                free = free.plus(attempt.job().spec());
            } else if (attempt.state() != TaskAttempt.State.CLAIMING) {
                candidates.add(attempt);
            }
        }
        if (free.hold(job.spec())) {
            return List.of();
        }
        candidates.sort(
                Comparator.comparing((TaskAttempt a) -> a.job().priority())
                        .reversed()
                        .thenComparingDouble(a -> lostWorkSeconds(a, now)));
        List<TaskAttempt> victims = new ArrayList<>();
        for (TaskAttempt victim : candidates) {
            if (free.hold(job.spec())) {
                break;
            }
            if (mayPreempt(victim, job, guaranteed, victims)) {
                free = free.plus(victim.job().spec());
                victims.add(victim);
            }
        }
        return free.hold(job.spec()) ? victims : null;
    }

    private static boolean isLeaving(TaskAttempt attempt) {
        return attempt.state() == TaskAttempt.State.STOPPING
                || attempt.state() == TaskAttempt.State.ENDED;
    }

    private static double lostWorkSeconds(TaskAttempt attempt, double now) {
        Submission spec = attempt.job().spec();
        double ran = attempt.ranSeconds(now);
        return spec.checkpoints() ? Math.min(ran, spec.checkpointSaveSeconds()) : ran;
    }

    /**
     * The protocol's grounds for stopping one job's task for another's. For a guarantee only what a
     * team runs in excess of its own is stopped, counting what is being stopped already, and
     * nothing of a higher priority: else the team that gave way was itself owed its guarantee, or
     * stood first in line again, and the two stopped each other's tasks several times a second.
     */
    private boolean mayPreempt(
            TaskAttempt victim, Job job, boolean guaranteed, List<TaskAttempt> before) {
        Submission loser = victim.job().spec();
        Priority right = job.priority();
        if (right.above(victim.job().priority())) {
            return true;
        }
        if (!guaranteed
                || loser.team().equals(job.spec().team())
                || victim.job().priority().above(right)) {
            return false;
        }
        Resources loss = Resources.of(loser);
        for (TaskAttempt other : before) {
            if (other.job().spec().team().equals(loser.team())) {
                loss = loss.plus(other.job().spec());
            }
        }
        return usage(victim.job()).keepsEntitlementWithout(loss);
    }
}
