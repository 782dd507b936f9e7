package org.springmill.control.membership;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.springmill.control.admission.Congestion;
import org.springmill.control.admission.QueueWaits;
import org.springmill.control.cluster.ClusterState;
import org.springmill.control.cluster.Job;
import org.springmill.control.cluster.TaskAttempt;
import org.springmill.protocol.PeerMessages.CongestedQueue;
import org.springmill.protocol.PeerMessages.CongestionNotice;
import org.springmill.protocol.PeerMessages.JobProgress;
import org.springmill.protocol.PeerMessages.ProgressUpdate;
import org.springmill.transport.EventLoop;

/**
 * The leader's broadcast to all controllers, once per heartbeat interval, of the progress of jobs
 * and the congested queues. The records are spread over the interval, so that the links between
 * controllers need not buffer those of the whole fleet at the same time.
 */
public final class WorkloadBroadcast {
    private final ClusterState clusterState;
    private final Peers peers;
    private final Congestion congestion;
    private final Optional<QueueWaits> queueWaits;
    private final EventLoop loop;
    private final String node;
    private final long term;
    private final double intervalSeconds;

    /**
     * Whether the last broadcast named a congested queue. If so, one is sent even if none is left.
     */
    private boolean lastBroadcastCongested;

    private boolean closed;

    /**
     * Creates the broadcast of one term.
     *
     * @param congestion this controller's own view of congested queues, updated with each broadcast
     * @param queueWaits empty unless a maximum wait of queued work is configured
     * @param node name of this controller
     * @param intervalSeconds time from one broadcast to the next
     */
    public WorkloadBroadcast(
            ClusterState clusterState,
            Peers peers,
            Congestion congestion,
            Optional<QueueWaits> queueWaits,
            EventLoop loop,
            String node,
            long term,
            double intervalSeconds) {
        this.clusterState = clusterState;
        this.peers = peers;
        this.congestion = congestion;
        this.queueWaits = queueWaits;
        this.loop = loop;
        this.node = node;
        this.term = term;
        this.intervalSeconds = intervalSeconds;
    }

    /** Stops broadcasting at the end of the term. */
    public void close() {
        closed = true;
    }

    /** Broadcasts now and then once per interval. */
    public void start() {
        if (closed) {
            return;
        }
        queueWaits.ifPresent(this::broadcastCongestion);
        broadcastProgress();
        loop.after(intervalSeconds, this::start);
    }

    /** Counts placed attempts as started tasks of their queues. */
    public void recordPlaced(List<TaskAttempt> claimed) {
        queueWaits.ifPresent(waits -> claimed.forEach(attempt -> recordPlaced(waits, attempt)));
    }

    private void recordPlaced(QueueWaits waits, TaskAttempt attempt) {
        Job job = attempt.job();
        waits.tasksStarted(job.spec().team(), job.priority(), 1, loop.now());
    }

    private void broadcastProgress() {
        List<JobProgress> jobs = progressOfStartedJobs();
        int parts = (jobs.size() + ProgressUpdate.MAX_JOBS - 1) / ProgressUpdate.MAX_JOBS;
        for (int part = 0; part < parts; part++) {
            int from = part * ProgressUpdate.MAX_JOBS;
            int to = Math.min(jobs.size(), from + ProgressUpdate.MAX_JOBS);
            ProgressUpdate update =
                    new ProgressUpdate(node, term, List.copyOf(jobs.subList(from, to)));
            loop.after(intervalSeconds * part / parts, () -> send(update));
        }
    }

    private List<JobProgress> progressOfStartedJobs() {
        List<JobProgress> jobs = new ArrayList<>();
        for (Job job : clusterState.jobs().values()) {
            if (job.isActive() && job.attemptCount() + job.doneTaskCount() > 0) {
                jobs.add(job.progress());
            }
        }
        return jobs;
    }

    private void send(ProgressUpdate update) {
        if (!closed) {
            peers.broadcast(update);
        }
    }

    private void broadcastCongestion(QueueWaits waits) {
        List<CongestedQueue> queues = congestedQueues(waits);
        congestion.update(queues, loop.now());
        if (lastBroadcastCongested || !queues.isEmpty()) {
            peers.broadcast(new CongestionNotice(node, term, queues));
        }
        lastBroadcastCongested = !queues.isEmpty();
    }

    private List<CongestedQueue> congestedQueues(QueueWaits waits) {
        waits.beginCount();
        for (Job job : clusterState.jobs().values()) {
            if (job.isActive() && job.isEligible() && job.waitingTaskCount() > 0) {
                waits.addWaiting(job.spec().team(), job.priority(), job.waitingTaskCount());
            }
        }
        return waits.endCount(loop.now());
    }
}
