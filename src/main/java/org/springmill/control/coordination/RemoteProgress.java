package org.springmill.control.coordination;

import java.util.HashMap;
import java.util.Map;
import org.springmill.protocol.PeerMessages.JobProgress;
import org.springmill.protocol.PeerMessages.Progress;
import org.springmill.transport.Loop;

/**
 * How far the tasks of active jobs are, as the leader last broadcast it, for a controller that does
 * not lead. For display only: no decision depends on it.
 */
final class RemoteProgress {
    /** After this many report intervals without a broadcast, what was known before is dropped. */
    private static final double MAX_AGE_REPORT_INTERVALS = 4;

    private final Loop loop;
    private final double maxAgeSeconds;
    private Map<String, JobProgress> progressByJob = new HashMap<>();
    private double receivedAt;

    RemoteProgress(Loop loop, Timing timing) {
        this.loop = loop;
        maxAgeSeconds = timing.reportS() * MAX_AGE_REPORT_INTERVALS;
    }

    /** Takes in a broadcast; a broadcast may be spread over several messages. */
    void receive(Progress received) {
        if (loop.now() - receivedAt > maxAgeSeconds) {
            progressByJob = new HashMap<>();
        }
        receivedAt = loop.now();
        received.jobs().forEach(progress -> progressByJob.put(progress.job(), progress));
    }

    /** The progress of a job, or null if none was broadcast. */
    JobProgress of(String jobId) {
        return progressByJob.get(jobId);
    }
}
