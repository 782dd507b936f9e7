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
 * All jobs and attempts that count: everything not proven gone is held against team limits, zones
 * and machines.
 */
public final class ClusterState {

    private final Map<String, Job> jobs = new LinkedHashMap<>();
    private final Map<String, TeamUsage> teams = new HashMap<>();
    private final Set<TaskAttempt> ended = new LinkedHashSet<>();
    private final Map<Priority, Integer> attemptsByPriority = new EnumMap<>(Priority.class);

    public ClusterState(Settings settings) {
        settings.teams().forEach(team -> teams.put(team.name(), new TeamUsage(team)));
    }

    public Map<String, Job> jobs() {
        return jobs;
    }

    public Job job(String id) {
        return jobs.get(id);
    }

    public void add(Job job) {
        jobs.put(job.id(), job);
    }

    /** Gives a job the place that follows from those that need it. */
    void rank(Job job, Priority priority, double latestStart) {
        attemptsByPriority.merge(job.priority(), -job.liveCount(), Integer::sum);
        job.rank(priority, latestStart);
        attemptsByPriority.merge(job.priority(), job.liveCount(), Integer::sum);
    }

    public void dropJob(Job job) {
        jobs.remove(job.id());
    }

    /**
     * A job of a team that has since left the settings may run nothing new, and what it runs is
     * still counted.
     */
    public TeamUsage usage(String team) {
        return teams.computeIfAbsent(
                team, name -> new TeamUsage(new Settings.Team(name, 0, 1e-9, 0, 1e-9)));
    }

    public void add(TaskAttempt attempt) {
        attempt.job().add(attempt);
        attempt.machine().add(attempt);
        charge(attempt, 1);
    }

    /** Takes an attempt out: its end is committed, or its claim never was to be. */
    public void remove(TaskAttempt attempt, double now) {
        ended.remove(attempt);
        attempt.job().remove(attempt);
        attempt.machine().remove(attempt, now);
        charge(attempt, -1);
        if (attempt.markStopRequested(false)) {
            usage(attempt.job().spec().team()).stopping(attempt.job().spec(), -1);
        }
    }

    /** Notes that an attempt was told to stop: it still counts, but gives nothing more back. */
    public void noteLeaving(TaskAttempt attempt) {
        if (attempt.markStopRequested(true)) {
            usage(attempt.job().spec().team()).stopping(attempt.job().spec(), 1);
        }
    }

    /** Takes back that an attempt is to stop; false if it was told already, or is over. */
    public boolean noteStaying(TaskAttempt attempt) {
        boolean told =
                attempt.state() == TaskAttempt.State.STOPPING
                        || attempt.state() == TaskAttempt.State.ENDED
                        || attempt.state() == TaskAttempt.State.CLOSED;
        if (!told && attempt.markStopRequested(false)) {
            usage(attempt.job().spec().team()).stopping(attempt.job().spec(), -1);
        }
        return !told;
    }

    private void charge(TaskAttempt attempt, int sign) {
        Submission spec = attempt.job().spec();
        usage(spec.team()).charge(spec, sign);
        attemptsByPriority.merge(attempt.job().priority(), sign, Integer::sum);
    }

    /** Whether anything at all may be stopped for a job: most find at a glance that nothing may. */
    public boolean mayPreemptFor(Job job) {
        String team = job.spec().team();
        return hasAttemptBelow(job.priority())
                || (usage(team).guaranteedFor(job.spec()) && isOtherTeamAboveGuarantee(team));
    }

    /** Whether anything of a lower priority holds a place. */
    private boolean hasAttemptBelow(Priority priority) {
        return attemptsByPriority.entrySet().stream()
                .anyMatch(e -> e.getValue() > 0 && priority.above(e.getKey()));
    }

    private boolean isOtherTeamAboveGuarantee(String team) {
        return teams.entrySet().stream()
                .anyMatch(e -> !e.getKey().equals(team) && e.getValue().isAboveGuarantee());
    }

    public void releaseHeld() {
        teams.values().forEach(TeamUsage::releaseReservations);
    }

    void enqueueEnded(TaskAttempt attempt) {
        ended.add(attempt);
    }

    public List<TaskAttempt> drainEnded(int most) {
        List<TaskAttempt> taken = new ArrayList<>();
        for (TaskAttempt attempt : ended) {
            if (taken.size() == most) {
                break;
            }
            taken.add(attempt);
        }
        ended.removeAll(taken);
        return taken;
    }

    /** Attempts known to have ended whose end is not yet committed, the earliest first. */
    public Collection<TaskAttempt> ended() {
        return Collections.unmodifiableSet(ended);
    }

    public boolean hasEnded() {
        return !ended.isEmpty();
    }
}
