package org.springmill.control.recall;

import java.util.HashSet;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.springmill.control.borrowing.RecallProgress.Outcome;
import org.springmill.control.metrics.Metrics;
import org.springmill.control.recall.RecallReservations.ActiveRecall;
import org.springmill.transport.EventLoop;

/** Settles recalls; their records are deleted by the next round that commits. */
final class RecallSettlement {
    private static final Logger LOG = LoggerFactory.getLogger(RecallSettlement.class);

    private final EventLoop loop;
    private final Metrics metrics;
    private final RecallReservations reservations;
    private final HoldDownCapacity heldDownCapacity;

    /** Keys of recalls whose records are not deleted yet. */
    private final Set<String> settledKeys = new HashSet<>();

    RecallSettlement(
            RecallContext context,
            RecallReservations reservations,
            HoldDownCapacity heldDownCapacity) {
        this.loop = context.loop();
        this.metrics = context.metrics();
        this.reservations = reservations;
        this.heldDownCapacity = heldDownCapacity;
    }

    /** Ends a recall and its reservation; does nothing if it is settled already. */
    void settle(ActiveRecall recall, Outcome outcome) {
        double now = loop.now();
        if (!recall.progress().settle(now)) {
            return;
        }
        LOG.debug(
                "recall {} for job {} on machine {} settled: {}",
                recall.key(),
                recall.beneficiary().id(),
                recall.machine().name(),
                outcome);
        reservations.remove(recall);
        settledKeys.add(recall.key());
        metrics.recordRecallOutcome(outcome);
        if (outcome != Outcome.TAKEN_BACK && !recall.victims().isEmpty()) {
            double cost = recall.lostSeconds() + now - recall.decidedAt();
            heldDownCapacity.recordRecall(
                    recall.beneficiary(), recall.machine(), cost, recall.borrowedSeconds(), now);
        }
    }

    /**
     * Marks the record of an earlier leader's recall for deletion; that recall is not taken over.
     */
    void deleteRecord(String key) {
        settledKeys.add(key);
    }

    /** Keys of the records that the next round deletes. */
    Set<String> settledKeys() {
        return settledKeys;
    }

    /** Called once the round that deletes the records is committed. */
    void committed() {
        settledKeys.clear();
    }
}
