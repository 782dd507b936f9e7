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
 * Samples the GPU use of the teams every 50 ms: whether a team was pushed below its entitlement or
 * runs above its limit, and how many GPUs are idle. A team is pushed below its entitlement if tasks
 * of it are stopped that no user cancelled. It counts as below until it runs as much as before, up
 * to its guarantee.
 */
final class LoanSampler {
    private static final double INTERVAL_SECONDS = 0.05;
    private static final double TOLERANCE = 1e-6;

    private final EventLoop loop;
    private final Scenario scenario;
    private final JobRegistry jobs;
    private final Map<TaskId, Submission> onMachines = new HashMap<>();
    private final Set<TaskId> stopping = new HashSet<>();

    /** Entitlements in GPUs of the teams that are below theirs. */
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

    /** Starts to count samples; called at the end of the warm-up. */
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

    /** A user cancels a job: stops of its tasks do not push its team below its entitlement. */
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
        // The team wants at least what it runs, so it is entitled to that, up to its guarantee.
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
        double stayingGpus = staying.getOrDefault(team, 0.0);
        double limit = scenario.teams().gpusMax();
        if (stayingGpus >= entitlements.getOrDefault(team, 0.0) - TOLERANCE) {
            entitlements.remove(team);
        } else if (counting) {
            below++;
        }
        if (counting && limit > 0 && used.getOrDefault(team, 0.0) > limit + TOLERANCE) {
            above++;
        }
    }

    /** GPUs in use by team, including those of tasks that are stopping. */
    Map<String, Double> gpusByTeam() {
        Map<String, Double> used = new TreeMap<>();
        onMachines.values().forEach(spec -> used.merge(spec.team(), spec.gpus(), Double::sum));
        return used;
    }

    /** GPUs in use by tasks other than services. */
    double batchGpus() {
        return onMachines.values().stream()
                .filter(spec -> !spec.isService())
                .mapToDouble(Submission::gpus)
                .sum();
    }

    private long batchTasks() {
        return onMachines.values().stream().filter(spec -> !spec.isService()).count();
    }

    /** Total seconds that tasks other than services were on machines, including the warm-up. */
    double batchTaskSeconds() {
        return batchTaskSeconds;
    }

    long samples() {
        return samples;
    }

    /** Number of samples in which a team was below its entitlement, counted per team. */
    long below() {
        return below;
    }

    /** Number of samples in which a team was above its limit, counted per team. */
    long above() {
        return above;
    }

    double idleGpuSeconds() {
        return idleGpuSeconds;
    }
}
