package org.springmill.protocol;

/** Limits of the protocol on the size of messages, which all parties keep. */
public final class MessageLimits {
    /** Longest body of a request, and longest line of a response to workers or users, in bytes. */
    public static final int MAX_BYTES = 64 * 1024;

    private MessageLimits() {}
}
