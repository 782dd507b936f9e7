package org.springmill.emulator;

import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.springmill.protocol.Submission;
import org.springmill.protocol.TaskId;

/** Descriptions of jobs as their users upload them, from where workers fetch them. */
final class JobRegistry {
    private final Map<String, EmulatedJob> jobs = new ConcurrentHashMap<>();
    private final Set<TaskId> started = ConcurrentHashMap.newKeySet();
    private final TaskProgress progress = new TaskProgress();

    /**
     * A job with what only its user knows.
     *
     * @param runSeconds of each task; infinite for a service
     */
    record EmulatedJob(Submission spec, double runSeconds) {}

    void upload(EmulatedJob job) {
        jobs.put(job.spec().id(), job);
    }

    /** How far tasks have come. */
    TaskProgress progress() {
        return progress;
    }

    /** A task starts to run: returns how long it still has to. */
    double secondsLeft(TaskId task, EmulatedJob job) {
        boolean ranBefore = !started.add(task);
        return Math.max(0, job.runSeconds() - progress.resume(task, ranBefore));
    }

    /** Null if no such job was uploaded. */
    EmulatedJob find(String id) {
        return jobs.get(id);
    }
}
