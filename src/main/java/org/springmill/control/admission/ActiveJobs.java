package org.springmill.control.admission;

import java.util.HashMap;
import java.util.Map;
import org.springmill.protocol.Settings.Team;
import org.springmill.protocol.Submission;

/**
 * The account of all jobs that are accepted and not over, with those that this controller is just
 * accepting: how many there are, the memory that they need, and what each team has asked for. A job
 * counts once, however often it is told of.
 */
public final class ActiveJobs {
    /**
     * Heap that one live job needs at a leader, beside the tasks that run: its record, its place in
     * the indexes, and its state. docs/admission.md has the measurement.
     */
    static final int JOB_BYTES = 1600;

    /** Heap that the record of an ended job needs until it is moved. */
    static final int ENDED_RECORD_BYTES = 555;

    /** A job keeps one bit for each task. */
    private static final int TASKS_PER_BYTE = 8;

    /** Ends are averaged over this time. */
    private static final double ENDS_AVERAGING_SECONDS = 30;

    private final Map<String, Submission> jobs = new HashMap<>();
    private final Map<String, TeamWork> teams = new HashMap<>();
    private final RateMeter endedBytes;
    private long bytes;

    /** What the unfinished jobs of one team have asked for. */
    private static final class TeamWork {
        private long bytes;
        private double cpus;
        private double gpus;

        private void add(Submission job, int sign) {
            bytes += (long) sign * bytesOf(job);
            cpus += sign * job.cpus() * job.tasks();
            gpus += sign * job.gpus() * job.tasks();
        }
    }

    public ActiveJobs(double now) {
        endedBytes = new RateMeter(ENDS_AVERAGING_SECONDS, now);
    }

    static int bytesOf(Submission job) {
        return JOB_BYTES + job.tasks() / TASKS_PER_BYTE;
    }

    /** Counts a job that is accepted, or about to be. */
    public void add(Submission job) {
        if (jobs.putIfAbsent(job.id(), job) == null) {
            count(job, 1);
        }
    }

    /** Counts a job no more: it has ended. */
    public void ended(String id, double now) {
        Submission job = jobs.remove(id);
        if (job != null) {
            count(job, -1);
            endedBytes.add(bytesOf(job), now);
        }
    }

    /** Counts a job no more that was not accepted after all, as far as is known here. */
    public void dropped(String id) {
        Submission job = jobs.remove(id);
        if (job != null) {
            count(job, -1);
        }
    }

    private void count(Submission job, int sign) {
        bytes += (long) sign * bytesOf(job);
        TeamWork team = teams.computeIfAbsent(job.team(), name -> new TeamWork());
        team.add(job, sign);
        if (team.bytes == 0) {
            teams.remove(job.team());
        }
    }

    /** Jobs that are counted. */
    public int jobs() {
        return jobs.size();
    }

    /** Memory that the counted jobs need. */
    public long bytes() {
        return bytes;
    }

    /** Memory that the counted jobs of one team need. */
    long bytes(String team) {
        TeamWork work = teams.get(team);
        return work == null ? 0 : work.bytes;
    }

    /** Memory that has lately come free in a second by jobs that ended. */
    double freedBytesPerSecond(double now) {
        return endedBytes.perSecond(now);
    }

    /**
     * Whether a job fits into its team's guarantee together with all unfinished jobs of that team.
     * What the guarantee says nothing of is not guaranteed, except for the CPUs beside GPUs.
     */
    boolean withinGuarantee(Team team, Submission job) {
        boolean usesGpus = job.gpus() > 0;
        boolean guaranteed = usesGpus ? team.gpus() > 0 : team.cpus() > 0;
        if (!guaranteed) {
            return false;
        }
        TeamWork work = teams.getOrDefault(team.name(), new TeamWork());
        return team.withinGuarantee(
                work.cpus + job.cpus() * job.tasks(), work.gpus + job.gpus() * job.tasks());
    }
}
