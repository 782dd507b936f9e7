package org.springmill.emulator;

import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.springmill.protocol.Submission;
import org.springmill.protocol.TaskId;

/** Job specifications that users upload and workers fetch. */
final class JobRegistry {
    private final Map<String, EmulatedJob> jobs = new ConcurrentHashMap<>();
    private final Set<TaskId> started = ConcurrentHashMap.newKeySet();
    private final TaskProgress progress = new TaskProgress();

    /**
     * A job with its run time, which the scheduler does not know.
     *
     * @param runSeconds run time of each task; infinite for a service
     */
    record EmulatedJob(Submission spec, double runSeconds) {}

    void upload(EmulatedJob job) {
        jobs.put(job.spec().id(), job);
    }

    /** Checkpointed progress of the tasks. */
    TaskProgress progress() {
        return progress;
    }

    /** Records the start of a task and returns its remaining run time. */
    double secondsLeft(TaskId task, EmulatedJob job) {
        boolean ranBefore = !started.add(task);
        return Math.max(0, job.runSeconds() - progress.resume(task, ranBefore));
    }

    /** Returns a job, or null if none with this id was uploaded. */
    EmulatedJob find(String id) {
        return jobs.get(id);
    }
}
