package org.springmill.control.admission;

import java.util.EnumMap;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.function.LongSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.springmill.protocol.Settings;
import org.springmill.protocol.Settings.Team;
import org.springmill.protocol.Submission;
import org.springmill.transport.EventLoop;

/**
 * Decides whether a submission can be accepted now. Only new jobs may be refused: before it
 * responds with a refusal, the caller must check that the job has not been accepted already.
 */
public final class AdmissionControl {
    private static final Logger LOG = LoggerFactory.getLogger(AdmissionControl.class);

    /** Each reason is logged at most once in this time. */
    private static final double LOG_INTERVAL_SECONDS = 10;

    /** Assumed time until memory is freed if no job has ended recently. */
    private static final double UNKNOWN_DRAIN_SECONDS = 5;

    private final EventLoop loop;
    private final Settings settings;
    private final ActiveJobs activeJobs;
    private final MemoryBound memoryBound;
    private final Congestion congestion;
    private final RetryAfter retryAfter;
    private final LongSupplier endedRecords;
    private final double maxQueueSeconds;
    private final Map<AdmissionReason, Double> loggedAt = new EnumMap<>(AdmissionReason.class);
    private final Map<AdmissionReason, Integer> refusedByReason =
            new EnumMap<>(AdmissionReason.class);

    /**
     * Creates the admission control of one controller.
     *
     * @param endedRecords number of records of ended jobs in memory
     * @param heapBytes the maximum heap size of this process
     * @param maxQueueSeconds the longest wait for the key-value store within a user's request
     */
    public AdmissionControl(
            EventLoop loop,
            Settings settings,
            ActiveJobs activeJobs,
            Congestion congestion,
            SplittableRandom random,
            LongSupplier endedRecords,
            double heapBytes,
            double maxQueueSeconds) {
        this.loop = loop;
        this.settings = settings;
        this.activeJobs = activeJobs;
        this.congestion = congestion;
        this.endedRecords = endedRecords;
        this.maxQueueSeconds = maxQueueSeconds;
        memoryBound = new MemoryBound(heapBytes);
        retryAfter = new RetryAfter(random);
    }

    /**
     * Why a new job cannot be accepted now; empty if it can.
     *
     * @param queueSeconds expected wait of its record for the key-value store
     */
    public Optional<AdmissionRefusal> refusal(Submission job, double queueSeconds) {
        double now = loop.now();
        boolean guaranteed = isGuaranteed(job);
        double excessBytes = memoryBound.excessBytes(activeJobs, endedBytes(), job, guaranteed);
        if (excessBytes > 0) {
            return refuse(AdmissionReason.MEMORY, drainSeconds(excessBytes, now));
        }
        double excessWait = guaranteed ? 0 : congestion.excessSeconds(job, now);
        if (excessWait > 0) {
            return refuse(AdmissionReason.WAIT, excessWait);
        }
        if (queueSeconds > maxQueueSeconds) {
            return refuse(AdmissionReason.QUEUE, queueSeconds);
        }
        return Optional.empty();
    }

    /**
     * Whether the memory available to a job is almost used up, so that this controller must first
     * find out what its peers have accepted.
     */
    public boolean isNearMemoryBound(Submission job) {
        return memoryBound.isNear(activeJobs, endedBytes(), job, isGuaranteed(job));
    }

    private boolean isGuaranteed(Submission job) {
        Team team = settings.team(job.team());
        return team != null && activeJobs.withinGuarantee(team, job);
    }

    private double drainSeconds(double excessBytes, double now) {
        double freed = activeJobs.freedBytesPerSecond(now);
        return freed > 0 ? excessBytes / freed : UNKNOWN_DRAIN_SECONDS;
    }

    /**
     * Returns the refusal of a job whose record was not sent to the key-value store in time.
     *
     * @param queueSeconds expected wait of its record for the key-value store now
     */
    public AdmissionRefusal refuseExpired(double queueSeconds) {
        return recordRefusal(AdmissionReason.QUEUE, Math.max(maxQueueSeconds, queueSeconds));
    }

    private Optional<AdmissionRefusal> refuse(AdmissionReason reason, double drainSeconds) {
        return Optional.of(recordRefusal(reason, drainSeconds));
    }

    private AdmissionRefusal recordRefusal(AdmissionReason reason, double drainSeconds) {
        refusedByReason.merge(reason, 1, Integer::sum);
        log(reason);
        return new AdmissionRefusal(reason, retryAfter.seconds(drainSeconds));
    }

    private void log(AdmissionReason reason) {
        double now = loop.now();
        if (now - loggedAt.getOrDefault(reason, Double.NEGATIVE_INFINITY) < LOG_INTERVAL_SECONDS) {
            return;
        }
        loggedAt.put(reason, now);
        LOG.warn(
                "submissions are refused: {} ({} so far; {} active jobs)",
                reason.text(),
                refusedCount(reason),
                activeJobs.jobCount());
    }

    private long endedBytes() {
        return endedRecords.getAsLong() * ActiveJobs.ENDED_RECORD_BYTES;
    }

    /** Number of submissions refused for a reason so far. */
    public int refusedCount(AdmissionReason reason) {
        return refusedByReason.getOrDefault(reason, 0);
    }

    /** Bytes of memory that active jobs and records of ended jobs need. */
    public long usedBytes() {
        return activeJobs.bytes() + endedBytes();
    }

    /** Bytes of memory that jobs may need. */
    public long boundBytes() {
        return memoryBound.boundBytes();
    }
}
