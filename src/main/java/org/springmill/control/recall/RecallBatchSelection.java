package org.springmill.control.recall;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.springmill.control.borrowing.VictimSelection;
import org.springmill.control.borrowing.VictimSelection.Candidate;
import org.springmill.control.cluster.Job;
import org.springmill.control.cluster.Machine;
import org.springmill.control.cluster.TaskAttempt;
import org.springmill.control.scheduling.PreemptionPolicy;
import org.springmill.protocol.Resources;

/**
 * Chooses for how many tasks of a job capacity is freed on one machine, and which victims are
 * stopped for it.
 */
final class RecallBatchSelection {
    private final RecallReservations reservations;
    private final PlannedRecalls planned;
    private final RecallRules rules;
    private final GracePeriods grace;

    /** Free capacity of one machine, now or soon, and the tasks that could be stopped there. */
    private record MachineCapacity(Resources free, List<Candidate<VictimUnit>> candidates) {}

    /**
     * The job for which capacity is freed.
     *
     * @param maxTasks largest number of its tasks for which capacity is freed
     * @param guaranteedTasks how many more of its tasks are within its team's guaranteed quota
     * @param scoreSeconds score of the machine for the job
     */
    record Request(Job job, int maxTasks, int guaranteedTasks, double scoreSeconds) {}

    RecallBatchSelection(
            RecallReservations reservations,
            PlannedRecalls planned,
            RecallRules rules,
            GracePeriods grace) {
        this.reservations = reservations;
        this.planned = planned;
        this.rules = rules;
        this.grace = grace;
    }

    /** The batch with the lowest cost per task; empty if not even one task can be made to fit. */
    Optional<RecallBatch> best(Request request, Machine machine, double now) {
        MachineCapacity capacity = capacityOf(machine, now);
        RecallBatch best = null;
        boolean zoneBound = request.job().spec().oneZone() || request.job().spec().spread();
        int largest = zoneBound ? 1 : request.maxTasks();
        for (int tasks = 1; tasks <= largest; tasks = nextSize(tasks, largest)) {
            Optional<RecallBatch> batch = batch(request, tasks, capacity);
            if (batch.isEmpty()) {
                break;
            }
            if (best == null || batch.get().costPerTask() < best.costPerTask()) {
                best = batch.get();
            }
        }
        return Optional.ofNullable(best);
    }

    /**
     * The batch size to try next: sizes double, the largest comes last, and one more ends the loop.
     */
    private static int nextSize(int tasks, int largest) {
        return tasks < largest ? Math.min(largest, 2 * tasks) : largest + 1;
    }

    private Optional<RecallBatch> batch(Request request, int tasks, MachineCapacity capacity) {
        Job job = request.job();
        boolean guaranteed = tasks <= request.guaranteedTasks();
        return VictimSelection.choose(
                        capacity.free(),
                        Resources.of(job.spec()).times(tasks),
                        capacity.candidates(),
                        (unit, others) -> rules.mayRecall(unit, job, guaranteed, others))
                .map(choice -> batch(tasks, choice, request.scoreSeconds()));
    }

    private RecallBatch batch(
            int tasks, VictimSelection.Choice<VictimUnit> choice, double scoreSeconds) {
        List<TaskAttempt> victims = new ArrayList<>();
        choice.victims().forEach(unit -> victims.addAll(unit.attemptsOnMachine()));
        double waitSeconds = tasks * (scoreSeconds + grace.longestCheckpointSeconds(victims));
        return new RecallBatch(tasks, victims, waitSeconds + choice.costSeconds());
    }

    /**
     * Determines the capacity of a machine that is free or soon will be, and the tasks that could
     * be stopped there.
     */
    private MachineCapacity capacityOf(Machine machine, double now) {
        List<Candidate<VictimUnit>> candidates = new ArrayList<>();
        Resources free =
                machine.free()
                        .minus(reservations.reservedOn(machine))
                        .minus(planned.reservedOn(machine));
        Map<Job, List<TaskAttempt>> gangs = new LinkedHashMap<>();
        for (TaskAttempt attempt : machine.attempts()) {
            if (isEnding(attempt)) {
                free = willFreeCapacity(attempt, now) ? free.plus(attempt.job().spec()) : free;
            } else if (isStoppable(attempt) && attempt.job().spec().isGang()) {
                gangs.computeIfAbsent(attempt.job(), gang -> new ArrayList<>()).add(attempt);
            } else if (isStoppable(attempt)) {
                candidates.add(candidate(VictimUnit.ofTask(attempt), now));
            }
        }
        gangs.forEach(
                (gang, members) ->
                        candidates.add(candidate(VictimUnit.ofGang(gang, members), now)));
        return new MachineCapacity(free, candidates);
    }

    /**
     * Stopping one member of a gang stops all, so the cost of a gang is that of all its members.
     */
    private Candidate<VictimUnit> candidate(VictimUnit unit, double now) {
        double cost = 0;
        for (TaskAttempt attempt : unit.stoppedAttempts()) {
            cost += PreemptionPolicy.VICTIM_COST_SECONDS + grace.lostWorkSeconds(attempt, now);
        }
        Resources frees = Resources.of(unit.job().spec()).times(unit.attemptsOnMachine().size());
        return new Candidate<>(unit, unit.job().priority(), frees, cost);
    }

    private boolean isEnding(TaskAttempt attempt) {
        return attempt.isRecalled()
                || planned.isVictim(attempt)
                || attempt.state() == TaskAttempt.State.STOPPING
                || attempt.state() == TaskAttempt.State.ENDED;
    }

    /**
     * Whether an attempt can be stopped: until its claim is committed, nothing is sent to a worker.
     */
    private static boolean isStoppable(TaskAttempt attempt) {
        return attempt.state() != TaskAttempt.State.CLAIMING;
    }

    /** Whether an ending task still holds its capacity but is expected to free it soon. */
    private boolean willFreeCapacity(TaskAttempt attempt, double now) {
        boolean overdue =
                attempt.state() == TaskAttempt.State.STOPPING
                        && now - attempt.stateSince() > grace.stopTimeoutSeconds(attempt);
        return !attempt.isReleased() && !overdue;
    }
}
