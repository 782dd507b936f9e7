package org.springmill.control.membership;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.springmill.control.timing.Timeouts;
import org.springmill.protocol.PeerMessages.JobProgress;
import org.springmill.protocol.PeerMessages.ProgressUpdate;
import org.springmill.transport.EventLoop;

/**
 * Progress of active jobs as last broadcast by the leader, for controllers that do not lead. For
 * display only: no decision depends on it.
 */
public final class RemoteProgress {
    /**
     * Heartbeat intervals after which current progress becomes previous, and previous is dropped.
     */
    private static final double MAX_AGE_HEARTBEAT_INTERVALS = 4;

    private final EventLoop loop;
    private final double maxAgeSeconds;

    /** Progress broadcast since {@link #currentSince}. */
    private Map<String, JobProgress> current = new HashMap<>();

    /** Progress broadcast in the interval before. A job in neither map has ended or is unknown. */
    private Map<String, JobProgress> previous = new HashMap<>();

    private double currentSince;

    /** Creates an instance that holds no progress. */
    public RemoteProgress(EventLoop loop, Timeouts timeouts) {
        this.loop = loop;
        maxAgeSeconds = timeouts.heartbeatIntervalSeconds() * MAX_AGE_HEARTBEAT_INTERVALS;
    }

    /** Adds one record of a broadcast, which may consist of several. */
    public void receive(ProgressUpdate received) {
        double ageSeconds = loop.now() - currentSince;
        if (ageSeconds > maxAgeSeconds) {
            previous = ageSeconds > 2 * maxAgeSeconds ? new HashMap<>() : current;
            current = new HashMap<>();
            currentSince = loop.now();
        }
        received.jobs().forEach(progress -> current.put(progress.job(), progress));
    }

    /** Number of jobs whose progress is held. */
    int size() {
        Set<String> jobs = new HashSet<>(current.keySet());
        jobs.addAll(previous.keySet());
        return jobs.size();
    }

    /** The progress of a job, or null if none was broadcast. */
    public JobProgress of(String jobId) {
        JobProgress latest = current.get(jobId);
        return latest != null ? latest : previous.get(jobId);
    }
}
