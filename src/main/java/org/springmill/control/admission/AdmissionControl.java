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
 * Decides whether a submission can be taken now. Only new jobs are ever refused: whoever asks has
 * made sure that the job is not accepted already, or does so before the user is answered.
 */
public final class AdmissionControl {
    private static final Logger LOG = LoggerFactory.getLogger(AdmissionControl.class);

    /** Of one reason, at most one line is logged in this time. */
    private static final double LOG_INTERVAL_SECONDS = 10;

    /** What memory that has not drained lately is expected to take. */
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
    private final Map<AdmissionReason, Integer> refused = new EnumMap<>(AdmissionReason.class);

    /**
     * @param endedRecords how many records of ended jobs are in memory
     * @param heapBytes the largest heap that this process may have
     * @param maxQueueSeconds the longest wait for the key-value store whose end a user still awaits
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
     * Why a new job cannot be taken now; empty if it can.
     *
     * @param queueSeconds how long its record would wait for the key-value store
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
     * Whether a job can only be taken after a look at what other controllers have accepted, since
     * little is left of the memory that it may need.
     */
    public boolean nearBound(Submission job) {
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
     * The refusal of a job that was taken and whose turn did not come in time.
     *
     * @param queueSeconds how long its record would wait for the key-value store now
     */
    public AdmissionRefusal givenUp(double queueSeconds) {
        return recordRefusal(AdmissionReason.QUEUE, Math.max(maxQueueSeconds, queueSeconds));
    }

    private Optional<AdmissionRefusal> refuse(AdmissionReason reason, double drainSeconds) {
        return Optional.of(recordRefusal(reason, drainSeconds));
    }

    private AdmissionRefusal recordRefusal(AdmissionReason reason, double drainSeconds) {
        refused.merge(reason, 1, Integer::sum);
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
                "submissions are refused: {} ({} so far; {} live jobs)",
                reason.text(),
                refused(reason),
                activeJobs.jobs());
    }

    private long endedBytes() {
        return endedRecords.getAsLong() * ActiveJobs.ENDED_RECORD_BYTES;
    }

    /** Submissions refused for a reason so far. */
    public int refused(AdmissionReason reason) {
        return refused.getOrDefault(reason, 0);
    }

    /** Memory that jobs need, of those that have ended too. */
    public long usedBytes() {
        return activeJobs.bytes() + endedBytes();
    }

    /** Memory that jobs may need. */
    public long boundBytes() {
        return memoryBound.boundBytes();
    }
}
