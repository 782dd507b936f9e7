package org.springmill.sim;

import java.util.Collection;
import java.util.List;
import java.util.Map;

/**
 * Checks that users get answers and, once all failures have ended, that no job waits for long
 * although there is capacity for it. Until then tasks may wait without limit.
 */
final class ProgressChecker {
    /**
     * The longest time that a job may wait although there is capacity for it, once all failures
     * have ended.
     */
    private static final double MAX_WAIT_SECONDS = 90;

    /** The longest time that a job may get no answer, once all failures have ended. */
    private static final double MAX_UNANSWERED_SECONDS = 75;

    /**
     * The longest time that a job may get no answer while most jobs get answers, also during
     * failures.
     */
    private static final double MAX_UNANSWERED_WHILE_OTHERS_ANSWERED_SECONDS = 90;

    /**
     * A job counts as answered if its last answer is younger than this, which is twice the poll
     * interval.
     */
    private static final double ANSWERED_RECENTLY_SECONDS = 10;

    private final SimCloud cloud;
    private final JobHistories jobs;
    private final PlacementRules placement;
    private final Violations violations;
    private double failuresEndedAt = Double.POSITIVE_INFINITY;
    private boolean pollsExpected;

    ProgressChecker(
            SimCloud cloud, JobHistories jobs, PlacementRules placement, Violations violations) {
        this.cloud = cloud;
        this.jobs = jobs;
        this.placement = placement;
        this.violations = violations;
    }

    /** From now on users poll all their jobs, and a job without answers is a violation. */
    void pollingStarted() {
        pollsExpected = true;
    }

    void failuresEnded(double now) {
        failuresEndedAt = now;
    }

    void check(double now, Map<String, TeamUsage> used) {
        if (pollsExpected) {
            checkAnswers(now);
        }
        if (failuresEndedAt < now) {
            jobs.unfinished(now).forEach(job -> checkWaiting(job, now, used));
        }
    }

    private void checkAnswers(double now) {
        List<JobHistory> unfinished = jobs.unfinished(now);
        long answered =
                unfinished.stream()
                        .filter(job -> now - job.lastAnswerAt() < ANSWERED_RECENTLY_SECONDS)
                        .count();
        boolean mostAnswered = 2 * answered > unfinished.size();
        for (JobHistory job : unfinished) {
            boolean unansweredUnlikeMost =
                    mostAnswered
                            && now - job.lastAnswerAt()
                                    > MAX_UNANSWERED_WHILE_OTHERS_ANSWERED_SECONDS;
            double unansweredSince = Math.max(job.lastAnswerAt(), failuresEndedAt);
            if (unansweredUnlikeMost || now - unansweredSince > MAX_UNANSWERED_SECONDS) {
                violations.add(Rule.FORGOTTEN, job.id() + " got no answer in time");
            }
        }
    }

    private void checkWaiting(JobHistory job, double now, Map<String, TeamUsage> used) {
        if (waitsDespiteCapacity(job, used.getOrDefault(job.team(), TeamUsage.NONE))) {
            job.waiting(now);
        } else {
            job.notWaiting();
        }
        if (now - Math.max(job.waitingSince(), failuresEndedAt) > MAX_WAIT_SECONDS) {
            violations.add(Rule.WAITS, job.id() + " for more than " + MAX_WAIT_SECONDS + " s");
        }
    }

    private boolean waitsDespiteCapacity(JobHistory job, TeamUsage used) {
        return jobs.unfinishedDependency(job) == null
                && hasPendingTask(job)
                && placement.hasCapacity(job, used);
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
