package org.springmill.control.scheduling;

import java.util.List;
import java.util.function.Consumer;
import org.springmill.control.cluster.TaskAttempt;
import org.springmill.protocol.KeyValueStoreMessages.Write;

/** Makes room for waiting jobs that find no place otherwise, by stopping work of lower right. */
public interface PreemptionPolicy {
    /** What stopping a task costs beside its lost work, so that few large ones are preferred. */
    double VICTIM_COST_SECONDS = 10;

    /** Reads what earlier leaders decided; tells whether that could be done. */
    default void load(Consumer<Boolean> done) {
        done.accept(true);
    }

    /** The jobs and attempts of earlier leaders are known now. */
    default void stateRecovered() {}

    /**
     * Takes back the room of attempts whose ends this round commits, before it places anything, if
     * one transaction may hold the end of one task and the claim of the next in its room.
     */
    default void release(List<TaskAttempt> ended) {}

    /**
     * Decides what is stopped, after a round has placed what finds room.
     *
     * @param round number of the round
     * @param claimed what the round places
     * @return changes that have to be part of the round's transaction
     */
    List<Write> decide(long round, List<TaskAttempt> claimed);

    /** The round is committed, with the changes that were decided. */
    default void committed() {}
}
