package org.springmill.control.recall;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.springmill.control.borrowing.RecallProgress;
import org.springmill.control.cluster.Job;
import org.springmill.control.cluster.Machine;
import org.springmill.control.cluster.TaskAttempt;
import org.springmill.protocol.Resources;

/** The active recalls and the capacity that they reserve, by machine, beneficiary and team. */
final class RecallReservations {
    private final Map<String, ActiveRecall> byKey = new LinkedHashMap<>();
    private final Map<Machine, List<ActiveRecall>> byMachine = new HashMap<>();
    private final Map<Job, List<ActiveRecall>> byJob = new LinkedHashMap<>();
    private final Map<String, Resources> byTeam = new HashMap<>();

    /**
     * Reservations of capacity that ending tasks are about to free. They last until the next plan
     * and are not stored, since no task is stopped for them. Without them, work of lower priority
     * would take the capacity as it becomes free and would then have to be preempted.
     */
    private Map<Machine, List<RecallPlan>> expectedByMachine = Map.of();

    /**
     * A recall that is not settled, with the objects that its record names.
     *
     * @param victims those of its victims that this leader knows
     * @param lostSeconds average lost work of the victims
     * @param borrowedSeconds how long the victims had run on average
     */
    record ActiveRecall(
            RecallProgress progress,
            Job beneficiary,
            Machine machine,
            List<TaskAttempt> victims,
            double lostSeconds,
            double borrowedSeconds,
            double decidedAt) {
        String key() {
            return progress.recall().key();
        }

        /** The stored amount, with what the beneficiary's task takes of a heartbeat. */
        Resources amount() {
            Resources stored = progress.recall().amount();
            return new Resources(
                    stored.cpus(),
                    stored.gpus(),
                    stored.memoryGb(),
                    Resources.of(beneficiary.spec()).heartbeatBytes());
        }
    }

    void add(ActiveRecall recall) {
        byKey.put(recall.key(), recall);
        byMachine.computeIfAbsent(recall.machine(), m -> new ArrayList<>()).add(recall);
        byJob.computeIfAbsent(recall.beneficiary(), j -> new ArrayList<>()).add(recall);
        String team = recall.beneficiary().spec().team();
        byTeam.merge(team, recall.amount(), Resources::plus);
    }

    void remove(ActiveRecall recall) {
        byKey.remove(recall.key());
        remove(byMachine, recall.machine(), recall);
        remove(byJob, recall.beneficiary(), recall);
        String team = recall.beneficiary().spec().team();
        byTeam.merge(team, recall.amount().times(-1), Resources::plus);
    }

    private static <K> void remove(Map<K, List<ActiveRecall>> index, K key, ActiveRecall recall) {
        List<ActiveRecall> recalls = index.get(key);
        recalls.remove(recall);
        if (recalls.isEmpty()) {
            index.remove(key);
        }
    }

    /** All recalls, the earliest first. */
    Collection<ActiveRecall> all() {
        return List.copyOf(byKey.values());
    }

    /** The jobs for which capacity is reserved by recalls. */
    Collection<Job> beneficiaries() {
        return List.copyOf(byJob.keySet());
    }

    /** The recalls for a job, the earliest first. */
    List<ActiveRecall> recallsFor(Job job) {
        return List.copyOf(byJob.getOrDefault(job, List.of()));
    }

    /** Number of a job's tasks for which recalls reserve capacity. */
    int reservedTaskCount(Job job) {
        return byJob.getOrDefault(job, List.of()).size();
    }

    /** Capacity that recalls reserve for a team's jobs. */
    Resources reservedForTeam(String team) {
        return byTeam.getOrDefault(team, Resources.NONE);
    }

    /** Capacity that recalls reserve on a machine. */
    Resources reservedOn(Machine machine) {
        return sumExcept(machine, null);
    }

    /** Replaces the reservations of capacity that is freed without a recall. */
    void setExpectedCapacity(List<RecallPlan> plans) {
        expectedByMachine = plans.stream().collect(Collectors.groupingBy(RecallPlan::machine));
    }

    /** Capacity that is reserved on a machine for jobs other than this one. */
    Resources reservedForOthersOn(Machine machine, Job job) {
        Resources sum = sumExcept(machine, job);
        for (RecallPlan plan : expectedByMachine.getOrDefault(machine, List.of())) {
            if (plan.beneficiary() != job) {
                sum = sum.plus(plan.beneficiary().spec());
            }
        }
        return sum;
    }

    /** The jobs for which capacity is reserved, with or without a recall. */
    Set<Job> jobsWithReservedCapacity() {
        Set<Job> jobs = new HashSet<>(byJob.keySet());
        expectedByMachine
                .values()
                .forEach(plans -> plans.forEach(plan -> jobs.add(plan.beneficiary())));
        return jobs;
    }

    /**
     * @param except a job whose recalls do not count, or null
     */
    private Resources sumExcept(Machine machine, Job except) {
        Resources sum = Resources.NONE;
        for (ActiveRecall recall : byMachine.getOrDefault(machine, List.of())) {
            if (recall.beneficiary() != except) {
                sum = sum.plus(recall.amount());
            }
        }
        return sum;
    }
}
