package org.springmill.control.jobs;

import java.util.function.Consumer;
import org.springmill.control.storage.JobRecord;

/** Decides whether a user may be told that a job is cancelled. */
@FunctionalInterface
public interface CancellationGate {
    /**
     * Waits until some controller is certain to remove the job's tasks in time.
     *
     * @param cancelled the record of a cancelled job
     * @param done receives true then, or false if that is not certain now
     */
    void await(JobRecord cancelled, Consumer<Boolean> done);
}
