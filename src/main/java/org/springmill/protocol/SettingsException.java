package org.springmill.protocol;

import java.nio.file.Path;

/**
 * A settings file that cannot be used. The message names the file, the field if one is at fault,
 * and what would mend it.
 */
public final class SettingsException extends Exception {
    private static final long serialVersionUID = 1L;

    /** A file that is at fault as a whole. */
    public SettingsException(Path file, String problem) {
        super(file + ": " + problem);
    }

    /** A field that is at fault. */
    public SettingsException(Path file, String field, String problem) {
        super(file + ": " + field + " " + problem);
    }
}
