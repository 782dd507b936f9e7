package org.springmill.control.admission;

import java.util.EnumMap;
import java.util.Map;
import org.springmill.protocol.Priority;
import org.springmill.protocol.Submission;

/**
 * Limits the memory of jobs to a share of the heap. Lower priorities are refused earlier, so that
 * some memory is left for higher ones. A team above its guaranteed quota is refused once it alone
 * uses half of the memory that jobs of this priority may use.
 */
final class MemoryBound {
    /** Share of the heap for records and states of jobs. The rest is for the fleet's state. */
    static final double HEAP_SHARE = 0.4;

    /** Share of the bound that all jobs together may use before jobs of a priority are refused. */
    private static final Map<Priority, Double> SHARE_BY_PRIORITY =
            new EnumMap<>(
                    Map.of(
                            Priority.LOW, 0.7,
                            Priority.NORMAL, 0.8,
                            Priority.HIGH, 0.9,
                            Priority.PRODUCTION, 0.95));

    /** Share of a priority's bound that one team may use. */
    private static final double TEAM_SHARE = 0.5;

    /** Share of a bound above which peers are asked before a new job is accepted. */
    private static final double NEAR_SHARE = 0.9;

    private final long boundBytes;

    /**
     * Creates the bound of a process.
     *
     * @param heapBytes the maximum heap size of this process
     */
    MemoryBound(double heapBytes) {
        boundBytes = (long) (heapBytes * HEAP_SHARE);
    }

    long boundBytes() {
        return boundBytes;
    }

    /**
     * Bytes that have to be freed before a job can be accepted; 0 if it can be accepted now.
     *
     * @param endedBytes memory of the records of ended jobs
     */
    double excessBytes(ActiveJobs activeJobs, long endedBytes, Submission job, boolean guaranteed) {
        return Math.max(0, excessOver(1, activeJobs, endedBytes, job, guaranteed));
    }

    /** Whether most of the memory that the job may use is in use. */
    boolean isNear(ActiveJobs activeJobs, long endedBytes, Submission job, boolean guaranteed) {
        return excessOver(NEAR_SHARE, activeJobs, endedBytes, job, guaranteed) > 0;
    }

    /** Bytes by which a job would exceed a share of its bound; negative if it would not. */
    private double excessOver(
            double share,
            ActiveJobs activeJobs,
            long endedBytes,
            Submission job,
            boolean guaranteed) {
        double bound =
                share * boundBytes * (guaranteed ? 1 : SHARE_BY_PRIORITY.get(job.priority()));
        long jobBytes = ActiveJobs.bytesOf(job);
        double excessOfAll = activeJobs.bytes() + endedBytes + jobBytes - bound;
        double excessOfTeam = activeJobs.bytes(job.team()) + jobBytes - bound * TEAM_SHARE;
        return guaranteed ? excessOfAll : Math.max(excessOfAll, excessOfTeam);
    }
}
