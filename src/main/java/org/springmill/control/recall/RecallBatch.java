package org.springmill.control.recall;

import java.util.List;
import org.springmill.control.cluster.TaskAttempt;

/** Capacity for a number of tasks of one job on one machine, and what is stopped for it. */
record RecallBatch(int tasks, List<TaskAttempt> victims, double costSeconds) {
    double costPerTask() {
        return costSeconds / tasks;
    }
}
