package org.springmill.sim;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.HashMap;
import java.util.Map;

/**
 * How far tasks have come. Checkpoints are kept outside the machines: a task goes on from its last
 * one wherever it starts again, and what it did since then is lost when it is stopped or killed.
 */
public final class SimProgress {
    private final SimulatedCluster cluster;
    private final Map<String, Double> savedSeconds = new HashMap<>();
    private final Map<String, Double> saveSecondsByJob = new HashMap<>();
    private double lostSeconds;
    private double lostCheckpointedSeconds;
    private int resumed;

    SimProgress(SimulatedCluster cluster) {
        this.cluster = cluster;
    }

    /** Tasks of a job take so long to save, whatever it says; infinite for never. */
    public void setSaveSeconds(String job, double seconds) {
        saveSecondsByJob.put(job, seconds);
    }

    /** Seconds of work that were done and lost. */
    public double lostSeconds() {
        return lostSeconds;
    }

    /** Of these, what a checkpoint had held before; none if checkpoints work. */
    public double lostCheckpointedSeconds() {
        return lostCheckpointedSeconds;
    }

    /** How often a task went on from a checkpoint. */
    public int resumed() {
        return resumed;
    }

    /** What a task's last checkpoint holds, in seconds of work. */
    public double savedSeconds(String task) {
        return savedSeconds.getOrDefault(task, 0.0);
    }

    private JsonNode spec(String task) {
        return cluster.spec(task);
    }

    private double checkpointSeconds(String task) {
        JsonNode spec = spec(task);
        return spec == null ? 0 : spec.path("stashEveryS").asDouble();
    }

    boolean mayBeSaved(String task) {
        return checkpointSeconds(task) > 0;
    }

    /** How long its job says that a save takes. */
    double nominalSaveSeconds(String task) {
        JsonNode spec = spec(task);
        return spec == null ? 0 : spec.path("stashS").asDouble();
    }

    /** How long a save takes. */
    double saveSeconds(String task) {
        return saveSecondsByJob.getOrDefault(JobHistories.jobOf(task), nominalSaveSeconds(task));
    }

    /** How long a task that starts now has to run. */
    double secondsLeft(String task) {
        double saved = savedSeconds(task);
        if (saved > 0) {
            resumed++;
        }
        return Math.max(0, cluster.runSeconds(task) - saved);
    }

    /** A task has saved all that it had done when it was halted. */
    void saved(SimWorker.Task task, double stoppedAt) {
        savedSeconds.merge(task.id, stoppedAt - task.runningSince, Double::sum);
    }

    /** A task ended without a save: all since its last checkpoint is lost. */
    void killed(SimWorker.Task task, double now) {
        JsonNode spec = spec(task.id);
        if (spec == null || spec.path("shape").asText().equals("service")) {
            return;
        }
        double before = savedSeconds(task.id);
        double end = Math.min(now, task.haltedAt);
        double ran = Math.max(0, end - task.runningSince);
        double every = checkpointSeconds(task.id);
        double kept = every > 0 ? Math.floor((before + ran) / every) * every - before : 0;
        if (kept > 0) {
            savedSeconds.merge(task.id, kept, Double::sum);
        }
        lostSeconds += ran - Math.max(0, kept);
        if (savedSeconds(task.id) < before) {
            lostCheckpointedSeconds += before - savedSeconds(task.id);
        }
    }
}
