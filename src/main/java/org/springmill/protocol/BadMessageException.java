package org.springmill.protocol;

/** A message that does not keep to the protocol. */
public final class BadMessageException extends Exception {
    private static final long serialVersionUID = 1L;

    public BadMessageException(String message) {
        super(message);
    }
}
