package org.springmill.emulator;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.DoubleAdder;
import java.util.concurrent.atomic.LongAdder;
import org.springmill.protocol.Submission;
import org.springmill.protocol.TaskId;

/**
 * Progress of tasks at their last checkpoints, which are stored outside the machines. A task that
 * starts again, on any machine, resumes from its last checkpoint. If it is killed, the work since
 * that checkpoint is lost.
 */
final class TaskProgress {
    private final Map<TaskId, Double> savedSeconds = new ConcurrentHashMap<>();
    private final DoubleAdder lostSeconds = new DoubleAdder();
    private final LongAdder stopped = new LongAdder();
    private final LongAdder resumed = new LongAdder();
    private final LongAdder startedAnew = new LongAdder();

    /** Records the start of a task and returns the run time that its last checkpoint holds. */
    double resume(TaskId task, boolean ranBefore) {
        double saved = savedSeconds.getOrDefault(task, 0.0);
        if (saved > 0) {
            resumed.increment();
        } else if (ranBefore) {
            startedAnew.increment();
        }
        return saved;
    }

    /** A task was stopped and has saved its run time since its start. Services are not recorded. */
    void saved(TaskId task, double ranSeconds) {
        stopped.increment();
        savedSeconds.merge(task, ranSeconds, Double::sum);
    }

    /** A task was stopped without a save: its work since its last checkpoint is lost. */
    void killed(TaskId task, Submission spec, double ranSeconds) {
        stopped.increment();
        double before = savedSeconds.getOrDefault(task, 0.0);
        double kept = 0;
        if (spec.hasCheckpoints()) {
            double checkpoints =
                    Math.floor((before + ranSeconds) / spec.checkpointIntervalSeconds());
            kept = Math.max(0, checkpoints * spec.checkpointIntervalSeconds() - before);
            savedSeconds.merge(task, kept, Double::sum);
        }
        lostSeconds.add(ranSeconds - kept);
    }

    /** Run time that was lost, in seconds. */
    double lostSeconds() {
        return lostSeconds.sum();
    }

    /** Number of times that a task, other than of a service, was stopped before it was done. */
    long stopped() {
        return stopped.sum();
    }

    /** Number of starts of tasks from a checkpoint. */
    long resumed() {
        return resumed.sum();
    }

    /** Number of restarts of tasks without a checkpoint. */
    long startedAnew() {
        return startedAnew.sum();
    }
}
