package org.springmill.control.storage;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Base64;
import org.springmill.protocol.TaskId;

/**
 * The decision to start one task on one machine, as committed before the start is sent.
 *
 * @param key derived once, when the claim is decided, and read from the record ever after
 * @param round the round of the decision; doubles as the attempt number on the wire, so that every
 *     resend by any controller names the same attempt
 */
public record Claim(String key, TaskId task, String machine, long round) {
    private static final int KEY_BYTES = 16;

    /**
     * A new decision of a round. Nothing that differs between controllers or between sends goes
     * into the key.
     */
    public static Claim decide(TaskId task, String machine, long round) {
        String canonical =
                String.join(
                        "|",
                        "v1",
                        task.job(),
                        Integer.toString(task.index()),
                        "start",
                        machine,
                        Long.toString(round));
        try {
            byte[] hash =
                    MessageDigest.getInstance("SHA-256")
                            .digest(canonical.getBytes(StandardCharsets.UTF_8));
            byte[] shortened = java.util.Arrays.copyOf(hash, KEY_BYTES);
            return new Claim(
                    Base64.getUrlEncoder().withoutPadding().encodeToString(shortened),
                    task,
                    machine,
                    round);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every JVM has SHA-256", e);
        }
    }
}
