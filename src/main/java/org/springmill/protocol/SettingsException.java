package org.springmill.protocol;

/**
 * A settings file that cannot be used; the message names the file, the field and what would mend
 * it.
 */
public final class SettingsException extends Exception {
    private static final long serialVersionUID = 1L;

    SettingsException(String message) {
        super(message);
    }
}
