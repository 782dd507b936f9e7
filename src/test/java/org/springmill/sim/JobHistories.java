package org.springmill.sim;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** The histories of all jobs, the tasks that are done, and queries on job dependencies. */
final class JobHistories {
    private final Map<String, JobHistory> jobs = new LinkedHashMap<>();
    private final Set<String> doneTasks = new HashSet<>();

    /** The job to which a task belongs. */
    static String jobOf(String task) {
        return task.substring(0, task.indexOf('/'));
    }

    /** The history of a job; null if nobody submitted it. */
    JobHistory find(String id) {
        return jobs.get(id);
    }

    JobHistory ofTask(String task) {
        return jobs.get(jobOf(task));
    }

    Collection<JobHistory> all() {
        return jobs.values();
    }

    /** A user submits a job; until it is accepted, a later submission replaces an earlier one. */
    void submitted(JsonNode job) {
        JobHistory known = jobs.get(job.path("nameId").asText());
        if (known == null || !known.accepted()) {
            jobs.put(job.path("nameId").asText(), new JobHistory(job));
        }
    }

    /**
     * Adds a job that was accepted before this cluster was started, and its tasks that are done.
     */
    void addAcceptedJob(JsonNode job, int... done) {
        JobHistory history =
                jobs.computeIfAbsent(job.path("nameId").asText(), id -> new JobHistory(job));
        history.accept(Double.NEGATIVE_INFINITY);
        for (int task : done) {
            taskDone(history.taskId(task));
        }
    }

    void taskDone(String task) {
        doneTasks.add(task);
    }

    boolean isTaskDone(String task) {
        return doneTasks.contains(task);
    }

    /**
     * Jobs whose users were answered that they are accepted, but not that they are done or
     * cancelled.
     */
    List<JobHistory> unfinished(double now) {
        return jobs.values().stream().filter(job -> job.acceptedBy(now) && !job.over()).toList();
    }

    /** Whether a user requested the cancellation of a job or of a direct or indirect dependency. */
    boolean cancelRequested(JobHistory job) {
        return job.cancelRequested()
                || job.dependencies().stream().anyMatch(id -> cancelRequested(jobs.get(id)));
    }

    /**
     * Whether a user had been answered by {@code time} that a direct or indirect dependency of the
     * job is cancelled.
     */
    boolean dependencyCancelledBy(double time, JobHistory job) {
        return job.dependencies().stream()
                .map(jobs::get)
                .anyMatch(
                        dependency ->
                                dependency.cancelledBy(time)
                                        || dependencyCancelledBy(time, dependency));
    }

    /** A task of a direct dependency that is not done yet; null if there is none. */
    String unfinishedDependency(JobHistory job) {
        for (String id : job.dependencies()) {
            JobHistory dependency = jobs.get(id);
            for (int i = 0; i < dependency.taskCount(); i++) {
                if (!isTaskDone(dependency.taskId(i))) {
                    return dependency.taskId(i);
                }
            }
        }
        return null;
    }
}
