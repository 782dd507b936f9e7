package org.springmill.protocol;

/** A message that does not keep to the protocol. */
public final class MalformedMessageException extends Exception {
    private static final long serialVersionUID = 1L;

    public MalformedMessageException(String message) {
        super(message);
    }
}
