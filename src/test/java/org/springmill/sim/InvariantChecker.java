package org.springmill.sim;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.springmill.protocol.Settings;
import org.springmill.transport.HttpClient.Reply;
import org.springmill.transport.HttpClient.Request;

/**
 * Checks the protocol's invariants from outside, by the tasks on the machines and the answers to
 * users. Machines are checked whenever a task starts and at short intervals.
 */
final class InvariantChecker {
    private static final double INTERVAL_SECONDS = 0.25;

    private final VirtualClock clock;
    private final SimCloud cloud;
    private final Settings settings;
    private final Violations violations = new Violations();
    private final JobHistories jobs = new JobHistories();
    private final PlacementRules placement;
    private final AnswerChecker answers;
    private final ProgressChecker progress;
    private final List<String> startsAfterCancel = new ArrayList<>();

    InvariantChecker(VirtualClock clock, SimCloud cloud, Settings settings) {
        this.clock = clock;
        this.cloud = cloud;
        this.settings = settings;
        placement = new PlacementRules(cloud, settings, jobs);
        answers = new AnswerChecker(clock, jobs, new SubmissionRules(settings), violations);
        progress = new ProgressChecker(cloud, jobs, placement, violations);
    }

    List<String> violationsFound() {
        return violations.list();
    }

    /**
     * Tasks that were started by a command that the machine executed after the user had been
     * answered that the job is cancelled.
     */
    List<String> startsAfterCancel() {
        return startsAfterCancel;
    }

    /**
     * From now on there are no failures: jobs for which there is capacity must run, and polls must
     * be answered.
     */
    void failuresEnded() {
        progress.failuresEnded(clock.now());
    }

    void pollingStarted() {
        progress.pollingStarted();
    }

    /** Accepted jobs that are not over and have tasks that are neither done nor on a machine. */
    List<String> jobsWithPendingTasks() {
        return jobs.unfinished(clock.now()).stream()
                .filter(progress::hasPendingTask)
                .map(JobHistory::id)
                .toList();
    }

    /**
     * Jobs whose users were answered that they are accepted, but not that they are done or
     * cancelled.
     */
    List<String> unfinishedJobs() {
        return jobs.unfinished(clock.now()).stream().map(JobHistory::id).toList();
    }

    /**
     * Adds a job that was accepted before this cluster was started, and its tasks that are done.
     */
    void addAcceptedJob(JsonNode job, int... done) {
        jobs.addAcceptedJob(job, done);
    }

    void requested(Request request) {
        answers.requested(request);
    }

    void answered(Request request, double sentAt, Reply reply) {
        answers.answered(request, sentAt, reply);
    }

    /** The job of a task; null if nobody submitted it. */
    JobHistory job(String task) {
        return jobs.ofTask(task);
    }

    JobHistories jobs() {
        return jobs;
    }

    void done(String task) {
        jobs.taskDone(task);
    }

    /** Checks a task that starts on a machine. */
    void started(SimWorker machine, SimTask task) {
        checkRunsOnce(machine, task.id);
        JobHistory job = jobs.ofTask(task.id);
        if (job == null) {
            violations.add(Rule.INVENTED, task.id + " started, but nobody submitted its job");
            return;
        }
        job.notWaiting();
        String dependency = jobs.unfinishedDependency(job);
        if (dependency != null) {
            violations.add(
                    Rule.TOO_EARLY, task.id + " started before its dependency " + dependency);
        }
        if (job.cancelledBy(task.commandedAt)) {
            startsAfterCancel.add(task.id);
        }
        String reason = placement.placementViolation(machine, job.job());
        if (reason != null) {
            violations.add(Rule.WRONG_PLACE, task.id + " on " + machine.name() + ": " + reason);
        }
        checkMachines();
    }

    private void checkRunsOnce(SimWorker machine, String task) {
        for (SimWorker other : cloud.machines().values()) {
            if (other != machine && other.runs(task)) {
                violations.add(
                        Rule.RAN_TWICE, task + " on " + other.name() + " and " + machine.name());
            }
        }
    }

    /** Checks all machines and jobs now and at regular intervals. */
    void checkPeriodically() {
        Map<String, TeamUsage> used = checkMachines();
        progress.check(clock.now(), used);
        clock.after(INTERVAL_SECONDS, this::checkPeriodically);
    }

    /** Checks the tasks that are on machines now, and returns the usage of each team. */
    private Map<String, TeamUsage> checkMachines() {
        Map<String, TeamUsage> used = new HashMap<>();
        for (SimWorker machine : cloud.machines().values()) {
            for (SimTask task : machine.tasks()) {
                JobHistory job = jobs.ofTask(task.id);
                if (task.onMachine() && job != null) {
                    used.merge(
                            job.team(),
                            TeamUsage.NONE.plus(job.job()),
                            (sum, one) -> sum.plus(job.job()));
                    checkNotCancelled(job, task, machine);
                }
            }
        }
        used.forEach(this::checkLimit);
        return used;
    }

    private void checkNotCancelled(JobHistory job, SimTask task, SimWorker machine) {
        if (job.cancelledBy(clock.now() - SimSettings.CANCEL_SECONDS)) {
            violations.add(Rule.RAN_CANCELLED, task.id + " on " + machine.name());
        }
    }

    private void checkLimit(String teamName, TeamUsage used) {
        Settings.Team team = settings.team(teamName);
        if (team == null || !team.withinLimit(used.cpus(), used.gpus())) {
            violations.add(Rule.QUOTA, teamName + " uses " + used + ", settings are " + team);
        }
    }
}
