package org.springmill.sim;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.HashMap;
import java.util.Map;

/**
 * The work that tasks have saved and lost. Checkpoints are kept outside the machines: a task
 * resumes from its last one on any machine, and its work since then is lost when it is stopped or
 * killed without a save.
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

    /**
     * Sets how long a save of a job's tasks takes instead of the time that the job declares;
     * infinite for a save that never ends.
     */
    public void setSaveSeconds(String job, double seconds) {
        saveSecondsByJob.put(job, seconds);
    }

    /** Seconds of work that were lost. */
    public double lostSeconds() {
        return lostSeconds;
    }

    /**
     * Seconds of work that were lost although a checkpoint contained them; 0 if checkpoints work.
     */
    public double lostCheckpointedSeconds() {
        return lostCheckpointedSeconds;
    }

    /** How often a task resumed from a checkpoint. */
    public int resumed() {
        return resumed;
    }

    /** Seconds of work in a task's last checkpoint; 0 if it has none. */
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

    boolean hasCheckpoints(String task) {
        return checkpointSeconds(task) > 0;
    }

    /** How long a save takes according to the task's job. */
    double nominalSaveSeconds(String task) {
        JsonNode spec = spec(task);
        return spec == null ? 0 : spec.path("stashS").asDouble();
    }

    /** How long a save takes in the simulation. */
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

    /** Records that a task has saved the work that it had done at {@code stoppedAt}. */
    void saved(SimTask task, double stoppedAt) {
        savedSeconds.merge(task.id, stoppedAt - task.runningSince, Double::sum);
    }

    /**
     * Records that a task ended without a save: its work since its last checkpoint is lost.
     * Services are not counted.
     */
    void killed(SimTask task, double now) {
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
