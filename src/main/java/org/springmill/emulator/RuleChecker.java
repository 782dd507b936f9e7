package org.springmill.emulator;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.springmill.emulator.JobRegistry.EmulatedJob;
import org.springmill.protocol.Submission;
import org.springmill.protocol.TaskId;
import org.springmill.protocol.UserMessages.JobPhase;
import org.springmill.transport.EventLoop;

/**
 * Checks the protocol's rules without access to the controllers' state, from the tasks that run on
 * machines and the phases that users receive. Runs on one event loop, to which all others forward
 * their events.
 */
final class RuleChecker {
    private static final int MAX_KEPT_VIOLATIONS = 100;
    private static final double TOLERANCE = 1e-6;
    private static final double CHECK_SECONDS = 1;

    private final EventLoop loop;
    private final Scenario scenario;
    private final JobRegistry jobs;
    private final Map<TaskId, String> machineByTask = new HashMap<>();
    private final Map<String, Set<TaskId>> tasksByMachine = new HashMap<>();
    private final Map<String, double[]> usage = new HashMap<>();
    private final Map<String, Double> cancelledAt = new HashMap<>();
    private final Map<String, JobPhase> finalPhases = new HashMap<>();
    private final Map<String, Double> finalPhaseAt = new HashMap<>();
    private final Map<String, Integer> doneTasks = new HashMap<>();
    private final List<String> violations = new ArrayList<>();
    private long violationCount;
    private final Set<TaskId> startedTasks = new HashSet<>();
    private long starts;
    private long repeatedStarts;
    private long ends;
    private long lost;

    RuleChecker(EventLoop loop, Scenario scenario, JobRegistry jobs) {
        this.loop = loop;
        this.scenario = scenario;
        this.jobs = jobs;
    }

    void start() {
        checkCancelled();
        loop.after(CHECK_SECONDS, this::start);
    }

    /** A task has its image and starts to run on a machine. */
    void started(TaskId task, String machine) {
        starts++;
        repeatedStarts += startedTasks.add(task) ? 0 : 1;
        String other = machineByTask.put(task, machine);
        if (other != null) {
            recordViolation("ran_twice", task + " on " + other + " and " + machine);
        }
        tasksByMachine.computeIfAbsent(machine, m -> new HashSet<>()).add(task);
        EmulatedJob job = jobs.find(task.job());
        if (job == null) {
            recordViolation("invented", task + " on " + machine);
            return;
        }
        charge(job.spec(), 1);
        if (finalPhases.get(task.job()) == JobPhase.DONE) {
            recordViolation("went_back", task + " starts although its job was called done");
        }
    }

    /** A task is no longer on a machine. */
    void ended(TaskId task, String machine, boolean done) {
        if (!tasksByMachine.getOrDefault(machine, Set.of()).remove(task)) {
            return;
        }
        ends++;
        machineByTask.remove(task, machine);
        EmulatedJob job = jobs.find(task.job());
        if (job != null) {
            charge(job.spec(), -1);
            if (done) {
                doneTasks.merge(task.job(), 1, Integer::sum);
            }
        }
    }

    /**
     * A machine was deleted, or its worker's lease has expired, so all its tasks have ended.
     * Returns these tasks.
     */
    Set<TaskId> cleared(String machine) {
        Set<TaskId> lostTasks = Set.copyOf(tasksByMachine.getOrDefault(machine, Set.of()));
        for (TaskId task : lostTasks) {
            lost++;
            ended(task, machine, false);
        }
        return lostTasks;
    }

    private void charge(Submission spec, int sign) {
        double[] used = usage.computeIfAbsent(spec.team(), team -> new double[2]);
        used[0] += sign * spec.cpus();
        used[1] += sign * spec.gpus();
        boolean above =
                exceeds(used[0], scenario.teams().cpusMax())
                        || exceeds(used[1], scenario.teams().gpusMax());
        if (sign > 0 && above) {
            recordViolation(
                    "quota", spec.team() + " uses " + used[0] + " CPUs, " + used[1] + " GPUs");
        }
    }

    private static boolean exceeds(double used, double limit) {
        return limit > 0 && used > limit + TOLERANCE;
    }

    /**
     * A user received the phase of a job. Responses may arrive out of order, but a request that was
     * sent after a final phase was received must not be answered with another phase.
     *
     * @param sentAt when the request was sent, in seconds
     */
    void phaseReceived(String job, JobPhase phase, double sentAt) {
        JobPhase before = finalPhases.get(job);
        boolean sentLater = before != null && sentAt >= finalPhaseAt.get(job);
        boolean differs = before != null && before != phase;
        if (differs && (phase.isTerminal() || sentLater)) {
            recordViolation("went_back", job + " from " + before + " to " + phase);
        }
        if (before == null && phase.isTerminal()) {
            finalPhases.put(job, phase);
            finalPhaseAt.put(job, loop.now());
            if (phase == JobPhase.CANCELLED) {
                cancelledAt.put(job, loop.now());
            } else {
                checkDone(job);
            }
        }
    }

    private void checkDone(String job) {
        int tasks = jobs.find(job).spec().tasks();
        if (doneTasks.getOrDefault(job, 0) < tasks) {
            recordViolation(
                    "not_done", job + " with " + doneTasks.getOrDefault(job, 0) + " of " + tasks);
        }
    }

    /** A controller answered a user that an accepted job is unknown. */
    void forgotten(String job) {
        recordViolation("forgotten", job);
    }

    private void checkCancelled() {
        double latest = loop.now() - scenario.workers().cancelSeconds();
        machineByTask.forEach(
                (task, machine) -> {
                    if (cancelledAt.getOrDefault(task.job(), Double.MAX_VALUE) < latest) {
                        recordViolation("ran_cancelled", task + " on " + machine);
                    }
                });
    }

    /** The emulation is over. It is a violation if no task was started: nothing was tested. */
    void finished() {
        if (starts == 0) {
            recordViolation("nothing_ran", "no task was started");
        }
    }

    private void recordViolation(String rule, String what) {
        violationCount++;
        if (violations.size() < MAX_KEPT_VIOLATIONS) {
            violations.add(rule + ": " + what);
        }
    }

    /** The first violations, at most {@value #MAX_KEPT_VIOLATIONS}. */
    List<String> violations() {
        return List.copyOf(violations);
    }

    long violationCount() {
        return violationCount;
    }

    /** Number of tasks on machines. */
    int running() {
        return machineByTask.size();
    }

    /** Starts of tasks that had started before. */
    long repeatedStarts() {
        return repeatedStarts;
    }

    long starts() {
        return starts;
    }

    long ends() {
        return ends;
    }

    /** Number of tasks that were lost with their machine or when its worker's lease expired. */
    long lost() {
        return lost;
    }
}
