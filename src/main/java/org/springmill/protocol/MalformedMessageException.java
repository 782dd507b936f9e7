package org.springmill.protocol;

/** A message that does not keep to the protocol. */
public final class MalformedMessageException extends Exception {
    private static final long serialVersionUID = 1L;

    /**
     * Describes what is wrong; users get this text as the reason of a refusal.
     *
     * @param message names the field at fault, if one is
     */
    public MalformedMessageException(String message) {
        super(message);
    }
}
