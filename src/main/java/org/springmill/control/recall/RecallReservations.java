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

/** The recalls under way on a leader, by machine, by beneficiary and by the beneficiary's team. */
final class RecallReservations {
    private final Map<String, ActiveRecall> byKey = new LinkedHashMap<>();
    private final Map<Machine, List<ActiveRecall>> byMachine = new HashMap<>();
    private final Map<Job, List<ActiveRecall>> byJob = new LinkedHashMap<>();
    private final Map<String, Resources> byTeam = new HashMap<>();

    /**
     * Room that comes by itself, from what is leaving already: kept from one round to the next, and
     * not committed, since nobody is stopped for it. Piece by piece it would go to work of lower
     * right, which then had to be stopped.
     */
    private Map<Machine, List<RecallPlan>> expectedCapacity = Map.of();

    /**
     * A recall with what it is about.
     *
     * @param victims those of its tasks that this leader knows
     * @param lostSeconds work that was lost by it, on average of the victims
     * @param borrowedSeconds how long the victims had run, on average
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

        Resources amount() {
            return progress.recall().amount();
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

    /** The jobs to which room is promised. */
    Collection<Job> beneficiaries() {
        return List.copyOf(byJob.keySet());
    }

    /** The recalls for a job, the earliest first. */
    List<ActiveRecall> recallsFor(Job job) {
        return List.copyOf(byJob.getOrDefault(job, List.of()));
    }

    /** For how many tasks of a job room is promised. */
    int count(Job job) {
        return byJob.getOrDefault(job, List.of()).size();
    }

    /** What is promised to a team's jobs. */
    Resources reservedForTeam(String team) {
        return byTeam.getOrDefault(team, Resources.NONE);
    }

    /** What is promised on a machine. */
    Resources reservedOn(Machine machine) {
        return sumExcept(machine, null);
    }

    /** Replaces what is known of room that comes by itself. */
    void setExpectedCapacity(List<RecallPlan> plans) {
        expectedCapacity = plans.stream().collect(Collectors.groupingBy(RecallPlan::machine));
    }

    /** What is promised on a machine to other jobs than this one. */
    Resources reservedForOthersOn(Machine machine, Job job) {
        Resources sum = sumExcept(machine, job);
        for (RecallPlan plan : expectedCapacity.getOrDefault(machine, List.of())) {
            if (plan.beneficiary() != job) {
                sum = sum.plus(plan.beneficiary().spec());
            }
        }
        return sum;
    }

    /** The jobs that may use room which is kept from others. */
    Set<Job> jobsWithReservedCapacity() {
        Set<Job> jobs = new HashSet<>(byJob.keySet());
        expectedCapacity
                .values()
                .forEach(plans -> plans.forEach(plan -> jobs.add(plan.beneficiary())));
        return jobs;
    }

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
