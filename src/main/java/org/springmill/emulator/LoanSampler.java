package org.springmill.emulator;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.springmill.emulator.JobRegistry.EmulatedJob;
import org.springmill.protocol.Submission;
import org.springmill.protocol.TaskId;
import org.springmill.transport.EventLoop;

/**
 * Looks every 50 ms at what the teams have on machines: whether one was pushed below its
 * entitlement or runs above its limit, and how many GPUs are idle. A team is pushed below if tasks
 * of it that nobody cancelled were stopped, until it has again what it had of its guarantee.
 */
final class LoanSampler {
    private static final double INTERVAL_SECONDS = 0.05;
    private static final double TOLERANCE = 1e-6;

    private final EventLoop loop;
    private final Scenario scenario;
    private final JobRegistry jobs;
    private final Map<TaskId, Submission> onMachines = new HashMap<>();
    private final Set<TaskId> stopping = new HashSet<>();

    /** What teams that were pushed below it were entitled to. */
    private final Map<String, Double> entitlements = new HashMap<>();

    private final Set<String> cancelledJobs = new HashSet<>();
    private final double totalGpus;
    private long samples;
    private long below;
    private long above;
    private double idleGpuSeconds;
    private double batchTaskSeconds;
    private boolean counting;

    LoanSampler(EventLoop loop, Scenario scenario, JobRegistry jobs) {
        this.loop = loop;
        this.scenario = scenario;
        this.jobs = jobs;
        totalGpus = scenario.machines().stream().mapToDouble(g -> g.number() * g.gpus()).sum();
    }

    void start() {
        sample();
        loop.after(INTERVAL_SECONDS, this::start);
    }

    /** From now on samples count. */
    void startMeasuring() {
        counting = true;
    }

    void started(TaskId task) {
        EmulatedJob job = jobs.find(task.job());
        if (job != null) {
            onMachines.put(task, job.spec());
        }
    }

    void ended(TaskId task) {
        onMachines.remove(task);
        stopping.remove(task);
    }

    /** A user cancels a job: stopping its tasks takes nothing from its team. */
    void cancelled(String job) {
        cancelledJobs.add(job);
    }

    /** A stop command for a task has arrived. */
    void stopCommanded(TaskId task) {
        Submission spec = onMachines.get(task);
        if (spec == null || cancelledJobs.contains(task.job()) || stopping.contains(task)) {
            return;
        }
        double before = stayingGpus(spec.team());
        stopping.add(task);
        // What it had of its guarantee is what it was entitled to: it asks for all it ran.
        double entitlement = Math.min(scenario.teams().gpus(), before);
        if (before - spec.gpus() < entitlement - TOLERANCE) {
            entitlements.merge(spec.team(), entitlement, Math::max);
        }
    }

    private double stayingGpus(String team) {
        double gpus = 0;
        for (Map.Entry<TaskId, Submission> entry : onMachines.entrySet()) {
            if (entry.getValue().team().equals(team) && !stopping.contains(entry.getKey())) {
                gpus += entry.getValue().gpus();
            }
        }
        return gpus;
    }

    private void sample() {
        Map<String, Double> staying = new HashMap<>();
        Map<String, Double> used = gpusByTeam();
        onMachines.forEach(
                (task, spec) -> {
                    if (!stopping.contains(task)) {
                        staying.merge(spec.team(), spec.gpus(), Double::sum);
                    }
                });
        for (int team = 0; team < scenario.teams().number(); team++) {
            sampleTeam(EmulatedUsers.teamName(team), staying, used);
        }
        batchTaskSeconds += INTERVAL_SECONDS * batchTasks();
        samples += counting ? 1 : 0;
        double inUse = used.values().stream().mapToDouble(gpus -> gpus).sum();
        idleGpuSeconds += counting ? (totalGpus - inUse) * INTERVAL_SECONDS : 0;
    }

    private void sampleTeam(String team, Map<String, Double> staying, Map<String, Double> used) {
        double left = staying.getOrDefault(team, 0.0);
        double limit = scenario.teams().gpusMax();
        if (left >= entitlements.getOrDefault(team, 0.0) - TOLERANCE) {
            entitlements.remove(team);
        } else if (counting) {
            below++;
        }
        if (counting && limit > 0 && used.getOrDefault(team, 0.0) > limit + TOLERANCE) {
            above++;
        }
    }

    /** GPUs that each team has on machines, tasks that save included. */
    Map<String, Double> gpusByTeam() {
        Map<String, Double> used = new TreeMap<>();
        onMachines.values().forEach(spec -> used.merge(spec.team(), spec.gpus(), Double::sum));
        return used;
    }

    /** GPUs that tasks of arrays have. */
    double batchGpus() {
        return onMachines.values().stream()
                .filter(spec -> !spec.isService())
                .mapToDouble(Submission::gpus)
                .sum();
    }

    private long batchTasks() {
        return onMachines.values().stream().filter(spec -> !spec.isService()).count();
    }

    /** Seconds that tasks of arrays were on machines, from the beginning on. */
    double batchTaskSeconds() {
        return batchTaskSeconds;
    }

    long samples() {
        return samples;
    }

    /** Samples of a team that was pushed below its entitlement, one for each team. */
    long below() {
        return below;
    }

    /** Samples of a team above its limit. */
    long above() {
        return above;
    }

    double idleGpuSeconds() {
        return idleGpuSeconds;
    }
}
