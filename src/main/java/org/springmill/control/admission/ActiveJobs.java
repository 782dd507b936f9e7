package org.springmill.control.admission;

import java.util.HashMap;
import java.util.Map;
import org.springmill.protocol.Settings.Team;
import org.springmill.protocol.Submission;

/**
 * Counts the active jobs and those that this controller is accepting now: their number, the memory
 * that they need, and the resources that each team has requested. Adding a job again has no effect.
 */
public final class ActiveJobs {
    /**
     * Heap that one active job needs at a leader, without its running tasks: its record, its index
     * entries and its state. docs/admission.md has the measurement.
     */
    static final int JOB_BYTES = 1600;

    /** Heap that the record of an ended job needs until it is archived. */
    static final int ENDED_RECORD_BYTES = 555;

    /** A job keeps one bit for each task. */
    private static final int TASKS_PER_BYTE = 8;

    /** Averaging time of the rate at which ended jobs free memory. */
    private static final double ENDS_AVERAGING_SECONDS = 30;

    private final Map<String, Submission> jobs = new HashMap<>();
    private final Map<String, TeamJobs> teams = new HashMap<>();
    private final RateMeter endedBytes;
    private long bytes;

    /** Memory and requested resources of the counted jobs of one team. */
    private static final class TeamJobs {
        private long bytes;
        private double cpus;
        private double gpus;

        private void add(Submission job, int sign) {
            bytes += (long) sign * bytesOf(job);
            cpus += sign * job.cpus() * job.tasks();
            gpus += sign * job.gpus() * job.tasks();
        }
    }

    /** Creates an instance without jobs. */
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

    /** Removes a job that has ended. */
    public void removeEnded(String id, double now) {
        Submission job = jobs.remove(id);
        if (job != null) {
            count(job, -1);
            endedBytes.add(bytesOf(job), now);
        }
    }

    /** Removes a job that was not accepted, as far as this controller knows. */
    public void removeUnaccepted(String id) {
        Submission job = jobs.remove(id);
        if (job != null) {
            count(job, -1);
        }
    }

    private void count(Submission job, int sign) {
        bytes += (long) sign * bytesOf(job);
        TeamJobs team = teams.computeIfAbsent(job.team(), name -> new TeamJobs());
        team.add(job, sign);
        if (team.bytes == 0) {
            teams.remove(job.team());
        }
    }

    /** Number of counted jobs. */
    public int jobCount() {
        return jobs.size();
    }

    /** Bytes of memory that the counted jobs need. */
    public long bytes() {
        return bytes;
    }

    /** Bytes of memory that the counted jobs of one team need. */
    long bytes(String team) {
        TeamJobs usage = teams.get(team);
        return usage == null ? 0 : usage.bytes;
    }

    /** Bytes of memory that ended jobs free per second, as a moving average. */
    double freedBytesPerSecond(double now) {
        return endedBytes.perSecond(now);
    }

    /**
     * Whether a job fits into its team's guaranteed quota together with all counted jobs of that
     * team. A GPU job needs a GPU guarantee and any other job a CPU guarantee; the CPUs of a GPU
     * job need none.
     */
    boolean withinGuarantee(Team team, Submission job) {
        boolean usesGpus = job.gpus() > 0;
        boolean guaranteed = usesGpus ? team.gpus() > 0 : team.cpus() > 0;
        if (!guaranteed) {
            return false;
        }
        TeamJobs usage = teams.getOrDefault(team.name(), new TeamJobs());
        return team.withinGuarantee(
                usage.cpus + job.cpus() * job.tasks(), usage.gpus + job.gpus() * job.tasks());
    }
}
