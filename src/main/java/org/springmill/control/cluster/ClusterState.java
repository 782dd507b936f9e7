package org.springmill.control.cluster;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.springmill.protocol.Priority;
import org.springmill.protocol.Settings;
import org.springmill.protocol.Submission;

/**
 * All jobs of one leadership term and their attempts. An attempt counts against the limits of its
 * team, zone and machine until its end is committed.
 */
public final class ClusterState {

    private final Map<String, Job> jobs = new LinkedHashMap<>();
    private final Map<String, TeamUsage> teams = new HashMap<>();
    private final Set<TaskAttempt> ended = new LinkedHashSet<>();
    private final Map<Priority, Integer> attemptsByPriority = new EnumMap<>(Priority.class);

    /** A cluster without jobs, with the teams of the settings. */
    public ClusterState(Settings settings) {
        settings.teams().forEach(team -> teams.put(team.name(), new TeamUsage(team)));
    }

    /** A live view of all jobs by id, in the order in which they were added. */
    public Map<String, Job> jobs() {
        return jobs;
    }

    /** The job of an id; null if it is not known. */
    public Job job(String id) {
        return jobs.get(id);
    }

    /** Adds a job that has no attempts yet. */
    public void add(Job job) {
        jobs.put(job.id(), job);
    }

    /** Sets a job's place in the queue, derived from its dependents. */
    void rank(Job job, Priority priority, double latestStart) {
        attemptsByPriority.merge(job.priority(), -job.attemptCount(), Integer::sum);
        job.rank(priority, latestStart);
        attemptsByPriority.merge(job.priority(), job.attemptCount(), Integer::sum);
    }

    /** Removes a job without attempts. */
    public void removeJob(Job job) {
        jobs.remove(job.id());
    }

    /**
     * The usage of a team. A team that was removed from the settings gets no new attempts; those
     * that it still has are counted.
     */
    public TeamUsage teamUsage(String team) {
        return teams.computeIfAbsent(
                team, name -> new TeamUsage(new Settings.Team(name, 0, 1e-9, 0, 1e-9)));
    }

    /** Adds an attempt and counts it for its job, machine and team. */
    public void add(TaskAttempt attempt) {
        attempt.job().add(attempt);
        attempt.machine().add(attempt);
        charge(attempt, 1);
    }

    /** Removes an attempt whose end is committed, or whose claim was not. */
    public void remove(TaskAttempt attempt, double now) {
        ended.remove(attempt);
        attempt.job().remove(attempt);
        attempt.machine().remove(attempt, now);
        charge(attempt, -1);
        if (attempt.markStopRequested(false)) {
            teamUsage(attempt.job().spec().team()).chargeStopping(attempt.job().spec(), -1);
        }
    }

    /**
     * Records that an attempt is to be stopped. Its resources still count as used, but are no
     * longer available for preemption or recall.
     */
    public void recordStopRequested(TaskAttempt attempt) {
        if (attempt.markStopRequested(true)) {
            teamUsage(attempt.job().spec().team()).chargeStopping(attempt.job().spec(), 1);
        }
    }

    /**
     * Withdraws the request to stop an attempt.
     *
     * @return false if its stop has begun or it has ended, so that the request stays
     */
    public boolean retractStopRequest(TaskAttempt attempt) {
        boolean isTooLate =
                attempt.state() == TaskAttempt.State.STOPPING
                        || attempt.state() == TaskAttempt.State.ENDED
                        || attempt.state() == TaskAttempt.State.CLOSED;
        if (!isTooLate && attempt.markStopRequested(false)) {
            teamUsage(attempt.job().spec().team()).chargeStopping(attempt.job().spec(), -1);
        }
        return !isTooLate;
    }

    private void charge(TaskAttempt attempt, int sign) {
        Submission spec = attempt.job().spec();
        teamUsage(spec.team()).charge(spec, sign);
        attemptsByPriority.merge(attempt.job().priority(), sign, Integer::sum);
    }

    /**
     * Whether any attempt may be preempted for a job. A cheap check that avoids the search for
     * victims for most jobs.
     */
    public boolean mayPreemptFor(Job job) {
        String team = job.spec().team();
        return hasAttemptBelow(job.priority())
                || (teamUsage(team).isWithinGuarantee(job.spec())
                        && isOtherTeamAboveGuarantee(team));
    }

    /** Whether an attempt of a lower priority exists. */
    private boolean hasAttemptBelow(Priority priority) {
        return attemptsByPriority.entrySet().stream()
                .anyMatch(e -> e.getValue() > 0 && priority.isAbove(e.getKey()));
    }

    private boolean isOtherTeamAboveGuarantee(String team) {
        return teams.entrySet().stream()
                .anyMatch(e -> !e.getKey().equals(team) && e.getValue().isAboveGuarantee());
    }

    /** Drops the limit reservations of all teams; see {@link TeamUsage#reserveLimit}. */
    public void releaseLimitReservations() {
        teams.values().forEach(TeamUsage::releaseReservations);
    }

    void enqueueEnded(TaskAttempt attempt) {
        ended.add(attempt);
    }

    /**
     * Removes and returns up to {@code maxCount} attempts of {@link #ended}, the earliest first.
     */
    public List<TaskAttempt> pollEnded(int maxCount) {
        List<TaskAttempt> taken = new ArrayList<>();
        for (TaskAttempt attempt : ended) {
            if (taken.size() == maxCount) {
                break;
            }
            taken.add(attempt);
        }
        ended.removeAll(taken);
        return taken;
    }

    /** Attempts known to have ended whose end is not yet being committed, the earliest first. */
    public Collection<TaskAttempt> ended() {
        return Collections.unmodifiableSet(ended);
    }

    /** Whether there are such attempts; see {@link #ended}. */
    public boolean hasEnded() {
        return !ended.isEmpty();
    }
}
