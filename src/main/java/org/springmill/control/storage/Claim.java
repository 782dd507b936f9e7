package org.springmill.control.storage;

import org.springmill.protocol.TaskId;

/**
 * The decision to start one task on one machine, as committed before the start is sent.
 *
 * @param key derived once, when the claim is decided, and read from the stored record afterwards
 * @param round the round of the decision; also the attempt number on the wire, so that every resend
 *     by any controller names the same attempt
 */
public record Claim(String key, TaskId task, String machine, long round) {
    /**
     * Creates the claim of a new decision. The key depends on nothing that differs between
     * controllers or between resends.
     */
    public static Claim decide(TaskId task, String machine, long round) {
        String key =
                DecisionKey.of(
                        task.job(),
                        Integer.toString(task.index()),
                        "start",
                        machine,
                        Long.toString(round));
        return new Claim(key, task, machine, round);
    }
}
