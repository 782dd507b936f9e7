package org.springmill.control.recall;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.springmill.control.cluster.Job;
import org.springmill.control.cluster.Machine;
import org.springmill.control.cluster.TaskAttempt;
import org.springmill.protocol.Resources;
import org.springmill.protocol.Submission;

/**
 * The victims that have been chosen and the resources that have been reserved so far while the
 * recalls of one round are planned. Reservations are summed by machine and by team, the resources
 * of victims by team.
 */
final class PlannedRecalls {
    private final Set<TaskAttempt> victims = new HashSet<>();
    private final Map<String, Resources> lossByTeam = new HashMap<>();
    private final Map<Machine, Resources> reservedByMachine = new HashMap<>();
    private final Map<String, Resources> reservedByTeam = new HashMap<>();

    void clear() {
        victims.clear();
        lossByTeam.clear();
        reservedByMachine.clear();
        reservedByTeam.clear();
    }

    boolean isVictim(TaskAttempt attempt) {
        return victims.contains(attempt);
    }

    /** Resources that a team loses with the victims chosen so far. */
    Resources lossOf(String team) {
        return lossByTeam.getOrDefault(team, Resources.NONE);
    }

    Resources reservedOn(Machine machine) {
        return reservedByMachine.getOrDefault(machine, Resources.NONE);
    }

    Resources reservedForTeam(String team) {
        return reservedByTeam.getOrDefault(team, Resources.NONE);
    }

    /** Adds a batch and splits it into plans for single tasks. */
    List<RecallPlan> add(Job beneficiary, Machine machine, RecallBatch batch) {
        Resources amount = Resources.of(beneficiary.spec()).times(batch.tasks());
        reserve(beneficiary, machine, amount);
        batch.victims().forEach(this::addVictim);
        List<RecallPlan> plans = new ArrayList<>();
        List<TaskAttempt> unassigned = new ArrayList<>(batch.victims());
        for (int tasksLeft = batch.tasks(); tasksLeft > 0; tasksLeft--) {
            // Each task gets a share of the victims. If demand falls before they are sent stop
            // commands, the recalls of surplus tasks are cancelled and their victims keep running.
            int victimCount = (unassigned.size() + tasksLeft - 1) / tasksLeft;
            List<TaskAttempt> taskVictims = new ArrayList<>(unassigned.subList(0, victimCount));
            unassigned.subList(0, victimCount).clear();
            plans.add(new RecallPlan(beneficiary, machine, taskVictims, batch.victims().isEmpty()));
        }
        return plans;
    }

    /** Removes the plan for one task. */
    void remove(RecallPlan plan) {
        Resources amount = Resources.of(plan.beneficiary().spec());
        reserve(plan.beneficiary(), plan.machine(), amount.times(-1));
        plan.victims().forEach(this::removeVictim);
    }

    private void reserve(Job beneficiary, Machine machine, Resources amount) {
        reservedByMachine.merge(machine, amount, Resources::plus);
        reservedByTeam.merge(beneficiary.spec().team(), amount, Resources::plus);
    }

    private void addVictim(TaskAttempt victim) {
        for (TaskAttempt attempt : stoppedWith(victim)) {
            if (victims.add(attempt)) {
                addLoss(victim.job().spec(), 1);
            }
        }
    }

    private void removeVictim(TaskAttempt victim) {
        for (TaskAttempt attempt : stoppedWith(victim)) {
            if (victims.remove(attempt)) {
                addLoss(victim.job().spec(), -1);
            }
        }
    }

    /** Stopping one member of a gang stops all of them. */
    private static List<TaskAttempt> stoppedWith(TaskAttempt victim) {
        return victim.job().spec().isGang() ? victim.job().attempts() : List.of(victim);
    }

    private void addLoss(Submission spec, int sign) {
        lossByTeam.merge(spec.team(), Resources.of(spec).times(sign), Resources::plus);
    }
}
