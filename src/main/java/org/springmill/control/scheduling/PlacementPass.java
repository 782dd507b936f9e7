package org.springmill.control.scheduling;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.springmill.control.cluster.ExhaustedEquivalenceClasses;
import org.springmill.control.cluster.Fleet;
import org.springmill.control.cluster.Job;
import org.springmill.control.cluster.Machine;
import org.springmill.control.cluster.TaskAttempt;
import org.springmill.control.cluster.TeamUsage;
import org.springmill.control.storage.Claim;
import org.springmill.control.timing.Timeouts;
import org.springmill.protocol.TaskId;

/** One round's pass over the waiting jobs: chooses machines for their tasks, job by job. */
final class PlacementPass {
    private final Fleet fleet;
    private final Timeouts timeouts;
    private final Reservations reservations;
    private final PlacementCost cost;
    private final Round round;
    private final ExhaustedEquivalenceClasses exhausted;
    private final List<TaskAttempt> placed = new ArrayList<>();
    private final Set<Job> skipped = new HashSet<>();

    /**
     * The round that is being filled.
     *
     * @param limit how many tasks it may place
     * @param machines those that take new tasks
     * @param startedAt seconds on the leader's clock
     */
    record Round(long number, int limit, List<Machine> machines, double startedAt) {}

    /**
     * @param jobsWithReservedCapacity jobs that may use capacity that is unavailable to other jobs
     *     of the same size
     */
    PlacementPass(
            Fleet fleet,
            Timeouts timeouts,
            Reservations reservations,
            PlacementCost cost,
            Round round,
            Set<Job> jobsWithReservedCapacity) {
        this.fleet = fleet;
        this.timeouts = timeouts;
        this.reservations = reservations;
        this.cost = cost;
        this.round = round;
        this.exhausted = new ExhaustedEquivalenceClasses(jobsWithReservedCapacity);
    }

    /** The attempts placed so far, which the cluster state holds already. */
    List<TaskAttempt> placed() {
        return placed;
    }

    /** The jobs that were not considered because the round was full before it reached them. */
    Set<Job> skipped() {
        return skipped;
    }

    /** Places as many of a job's waiting tasks as its quota, the round and the machines allow. */
    void place(Job job) {
        boolean gang = job.spec().isGang();
        if (round.startedAt() < job.failures().retryNotBefore()) {
            return;
        }
        if (!gang && isFull()) {
            skipped.add(job);
            return;
        }
        if (!gang && !isWithinQuota(job)) {
            return;
        }
        if (exhausted.covers(job)) {
            reserveQuota(job);
            return;
        }
        MachineRanking ranking =
                new MachineRanking(
                        round.machines(), machine -> cost.of(job, machine, round.startedAt()));
        if (gang) {
            placeGang(job, ranking);
        } else {
            placeSingleTasks(job, ranking);
        }
    }

    private boolean isFull() {
        return placed.size() >= round.limit();
    }

    private TeamUsage usage(Job job) {
        return fleet.clusterState().teamUsage(job.spec().team());
    }

    private boolean isWithinQuota(Job job) {
        return usage(job).isWithinLimit(job.spec());
    }

    /** Reserves part of the team's maximum quota for replicas that could not be placed. */
    private void reserveQuota(Job job) {
        if (job.spec().isService()) {
            usage(job).reserveLimit(job.spec(), job.waitingTaskCount());
        }
    }

    private void placeSingleTasks(Job job, MachineRanking ranking) {
        while (!isFull() && job.canStartAnotherTask() && isWithinQuota(job)) {
            Optional<TaskAttempt> attempt = placeNextTask(job, ranking);
            if (attempt.isEmpty()) {
                exhausted.add(job);
                reserveQuota(job);
                reservations.reserve(job, round.machines(), round.startedAt());
                return;
            }
            placed.add(attempt.get());
        }
    }

    /** Gang scheduling: all members are claimed in one round, or none. */
    private void placeGang(Job job, MachineRanking ranking) {
        boolean exceedsRound =
                !placed.isEmpty() && job.waitingTaskCount() > round.limit() - placed.size();
        if (job.attemptCount() > 0 || exceedsRound) {
            return;
        }
        List<TaskAttempt> members = new ArrayList<>();
        boolean complete = true;
        while (complete && job.nextWaitingTask() >= 0) {
            Optional<TaskAttempt> member =
                    isWithinQuota(job) ? placeNextTask(job, ranking) : Optional.empty();
            member.ifPresent(members::add);
            complete = member.isPresent();
        }
        if (complete) {
            placed.addAll(members);
        } else {
            members.forEach(member -> fleet.clusterState().remove(member, fleet.now()));
        }
    }

    /** Adds an attempt of the job's next task to the cluster state; empty if no machine fits. */
    private Optional<TaskAttempt> placeNextTask(Job job, MachineRanking ranking) {
        Optional<Machine> chosen = machineOfRecalledTask(job).or(ranking::best);
        if (chosen.isEmpty()) {
            return Optional.empty();
        }
        Machine machine = chosen.get();
        TaskId task = new TaskId(job.id(), job.nextWaitingTask());
        Claim claim = Claim.decide(task, machine.name(), round.number());
        TaskAttempt attempt = new TaskAttempt(claim, job, machine, fleet.now());
        fleet.clusterState().add(attempt);
        machine.recordImageNeeded(job.spec(), fleet.now());
        return Optional.of(attempt);
    }

    /**
     * The machine from which the job's next task was recalled, if it has capacity again and still
     * holds the image.
     */
    private Optional<Machine> machineOfRecalledTask(Job job) {
        return Optional.ofNullable(job.recalledFrom(job.nextWaitingTask()))
                .filter(
                        machine ->
                                machine.isSchedulable(fleet.now(), timeouts.suspectAfterSeconds()))
                .filter(machine -> machine.holdsImage(job.spec().image()))
                .filter(
                        machine ->
                                cost.of(job, machine, fleet.now())
                                        < PlacementCost.AVOIDED_MACHINE_PENALTY_SECONDS);
    }
}
