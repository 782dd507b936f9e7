package org.springmill.control.storage;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Arrays;
import java.util.Base64;

/** Derives the idempotency key of a decision once; afterwards it is read from the store. */
public final class DecisionKey {
    private static final int KEY_BYTES = 16;
    private static final String VERSION = "v1";
    private static final String SEPARATOR = "|";

    private DecisionKey() {}

    /** The key of a decision with these parts. */
    public static String of(String... parts) {
        String canonical = VERSION + SEPARATOR + String.join(SEPARATOR, parts);
        try {
            byte[] hash =
                    MessageDigest.getInstance("SHA-256")
                            .digest(canonical.getBytes(StandardCharsets.UTF_8));
            byte[] shortened = Arrays.copyOf(hash, KEY_BYTES);
            return Base64.getUrlEncoder().withoutPadding().encodeToString(shortened);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("the Java runtime lacks SHA-256", e);
        }
    }
}
