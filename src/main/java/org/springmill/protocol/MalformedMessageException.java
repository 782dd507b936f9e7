package org.springmill.protocol;

/** Thrown for a message that violates the protocol. */
public final class MalformedMessageException extends Exception {
    private static final long serialVersionUID = 1L;

    /**
     * Creates an exception whose message is returned to users as the reason of a refusal.
     *
     * @param message describes the error and names the invalid field, if there is one
     */
    public MalformedMessageException(String message) {
        super(message);
    }
}
