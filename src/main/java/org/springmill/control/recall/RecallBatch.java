package org.springmill.control.recall;

import java.util.List;
import org.springmill.control.cluster.TaskAttempt;

/**
 * Capacity for one or more tasks of a job on one machine, and the victims that are stopped for it.
 */
record RecallBatch(int tasks, List<TaskAttempt> victims, double costSeconds) {
    double costPerTask() {
        return costSeconds / tasks;
    }
}
