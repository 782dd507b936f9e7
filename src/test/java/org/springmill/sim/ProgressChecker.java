package org.springmill.sim;

import java.util.Collection;
import java.util.List;
import java.util.Map;

/**
 * Checks that users get answers, and that work goes on once all failures are over. Until then tasks
 * may wait for as long as they have to.
 */
final class ProgressChecker {
    /**
     * A job waits no longer than this while there is capacity for it, once all failures are over.
     */
    private static final double MAX_WAIT_SECONDS = 90;

    /** No job goes without an answer for longer than this, once all failures are over. */
    private static final double MAX_UNANSWERED_SECONDS = 75;

    /** Nor, at any time, for longer than this while most jobs get answers. */
    private static final double MAX_SINGLED_OUT_SECONDS = 90;

    /** Twice the interval of polls: a job whose last answer is not older gets answers. */
    private static final double ANSWERED_RECENTLY_SECONDS = 10;

    private final SimCloud cloud;
    private final JobHistories jobs;
    private final PlacementRules placement;
    private final Violations violations;
    private double failuresOverAt = Double.POSITIVE_INFINITY;
    private boolean polled;

    ProgressChecker(
            SimCloud cloud, JobHistories jobs, PlacementRules placement, Violations violations) {
        this.cloud = cloud;
        this.jobs = jobs;
        this.placement = placement;
        this.violations = violations;
    }

    /** From now on users poll all their jobs, so that one without an answer is forgotten. */
    void jobsArePolled() {
        polled = true;
    }

    void failuresAreOver(double now) {
        failuresOverAt = now;
    }

    void check(double now, Map<String, TeamUsage> used) {
        if (polled) {
            checkAnswers(now);
        }
        if (failuresOverAt < now) {
            jobs.unfinished(now).forEach(job -> checkWaiting(job, now, used));
        }
    }

    private void checkAnswers(double now) {
        List<JobHistory> asking = jobs.unfinished(now);
        long answered =
                asking.stream()
                        .filter(job -> now - job.lastAnswerAt() < ANSWERED_RECENTLY_SECONDS)
                        .count();
        boolean mostAnswered = 2 * answered > asking.size();
        for (JobHistory job : asking) {
            boolean singledOut = mostAnswered && now - job.lastAnswerAt() > MAX_SINGLED_OUT_SECONDS;
            double unansweredSince = Math.max(job.lastAnswerAt(), failuresOverAt);
            if (singledOut || now - unansweredSince > MAX_UNANSWERED_SECONDS) {
                violations.add(Rule.FORGOTTEN, job.id() + " gets no answer");
            }
        }
    }

    private void checkWaiting(JobHistory job, double now, Map<String, TeamUsage> used) {
        if (waitsThoughThereIsRoom(job, used.getOrDefault(job.team(), TeamUsage.NONE))) {
            job.waiting(now);
        } else {
            job.notWaiting();
        }
        if (now - Math.max(job.waitingSince(), failuresOverAt) > MAX_WAIT_SECONDS) {
            violations.add(Rule.WAITS, job.id());
        }
    }

    private boolean waitsThoughThereIsRoom(JobHistory job, TeamUsage used) {
        return jobs.unfinishedDependency(job) == null
                && hasPendingTask(job)
                && placement.hasRoom(job, used);
    }

    /** Whether a job has a task that is neither done nor on a machine. */
    boolean hasPendingTask(JobHistory job) {
        Collection<SimWorker> machines = cloud.machines().values();
        for (int i = 0; i < job.taskCount(); i++) {
            String task = job.taskId(i);
            if (!jobs.isTaskDone(task)
                    && machines.stream().noneMatch(machine -> machine.hasTask(task))) {
                return true;
            }
        }
        return false;
    }
}
