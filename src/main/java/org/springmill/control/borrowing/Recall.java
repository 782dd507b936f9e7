package org.springmill.control.borrowing;

import java.util.List;
import org.springmill.control.storage.DecisionKey;
import org.springmill.protocol.Resources;
import org.springmill.protocol.TaskId;

/**
 * The decision to reclaim borrowed resources on one machine and to reserve them for one task of a
 * job. It is committed before any victim is sent a stop command.
 *
 * @param key derived when the recall is decided; afterwards always read from the record
 * @param round the round of the decision; attempts claimed in later rounds are not victims
 * @param beneficiary the job for one task of which capacity is freed
 * @param amount the resources reserved on the machine, which are those the task needs
 * @param victims the tasks on the machine that are stopped
 * @param graceEndsAt time of day until which the victims may write checkpoints
 */
public record Recall(
        String key,
        long round,
        String machine,
        String beneficiary,
        Resources amount,
        List<TaskId> victims,
        double graceEndsAt) {
    /**
     * Creates a recall that a round decides. The key contains nothing that differs between
     * controllers or between retries.
     *
     * @param ordinal distinguishes the recalls of one round
     */
    public static Recall decide(
            long round,
            int ordinal,
            String machine,
            String beneficiary,
            Resources amount,
            List<TaskId> victims,
            double graceEndsAt) {
        String key =
                DecisionKey.of(
                        "recall",
                        beneficiary,
                        machine,
                        Long.toString(round),
                        Integer.toString(ordinal));
        return new Recall(
                key, round, machine, beneficiary, amount, List.copyOf(victims), graceEndsAt);
    }
}
