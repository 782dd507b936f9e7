package org.springmill.control.scheduling;

import java.util.List;
import java.util.function.Consumer;
import org.springmill.control.cluster.TaskAttempt;
import org.springmill.protocol.KeyValueStoreMessages.Write;

/**
 * Frees capacity for waiting jobs that fit on no machine by stopping tasks that they may preempt.
 */
public interface PreemptionPolicy {
    /**
     * Cost of stopping a task in addition to its lost work, so that a few large victims are
     * preferred to many small ones.
     */
    double VICTIM_COST_SECONDS = 10;

    /**
     * Reads the decisions of earlier leaders from the key-value store.
     *
     * @param done called with whether they could be read
     */
    default void load(Consumer<Boolean> done) {
        done.accept(true);
    }

    /** Called once the jobs and attempts of earlier leaders are recovered. */
    default void stateRecovered() {}

    /**
     * Called before the round places tasks, with the attempts whose ends it commits. A policy may
     * free their capacity here if one transaction may contain the end of a task and the claim that
     * reuses its capacity.
     */
    default void release(List<TaskAttempt> ended) {}

    /**
     * Decides which tasks are stopped, after a round has placed the tasks that fit.
     *
     * @param round number of the round
     * @param claimed the attempts that the round placed
     * @return writes that have to be part of the round's transaction
     */
    List<Write> decide(long round, List<TaskAttempt> claimed);

    /** Called once the round and the writes that were returned for it are committed. */
    default void committed() {}
}
