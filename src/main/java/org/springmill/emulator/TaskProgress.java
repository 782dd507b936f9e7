package org.springmill.emulator;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.DoubleAdder;
import java.util.concurrent.atomic.LongAdder;
import org.springmill.protocol.Submission;
import org.springmill.protocol.TaskId;

/**
 * How far tasks have come, by their checkpoints, which are kept outside the machines. A task goes
 * on from its last one wherever it starts again; what it did since is lost when it ends otherwise.
 */
final class TaskProgress {
    private final Map<TaskId, Double> savedSeconds = new ConcurrentHashMap<>();
    private final DoubleAdder lostSeconds = new DoubleAdder();
    private final LongAdder stopped = new LongAdder();
    private final LongAdder resumed = new LongAdder();
    private final LongAdder startedAnew = new LongAdder();

    /** A task starts: returns the seconds of work that its last checkpoint holds. */
    double resume(TaskId task, boolean ranBefore) {
        double saved = savedSeconds.getOrDefault(task, 0.0);
        if (saved > 0) {
            resumed.increment();
        } else if (ranBefore) {
            startedAnew.increment();
        }
        return saved;
    }

    /** A task of an array was stopped after so many seconds, all of which it has saved. */
    void saved(TaskId task, double ranSeconds) {
        stopped.increment();
        savedSeconds.merge(task, ranSeconds, Double::sum);
    }

    /** A task of an array ended without a save: what it did since its last checkpoint is lost. */
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

    /** Seconds of work that were done and lost. */
    double lostSeconds() {
        return lostSeconds.sum();
    }

    /** Tasks of arrays that were stopped before their end. */
    long stopped() {
        return stopped.sum();
    }

    /** Tasks that went on from a checkpoint. */
    long resumed() {
        return resumed.sum();
    }

    /** Tasks that began anew after they had run. */
    long startedAnew() {
        return startedAnew.sum();
    }
}
