package org.springmill.protocol;

import java.nio.file.Path;

/**
 * Thrown for a settings file that cannot be used. The message names the file, the invalid field if
 * there is one, and how to correct it.
 */
public final class SettingsException extends Exception {
    private static final long serialVersionUID = 1L;

    /**
     * Reports an error that concerns the whole file.
     *
     * @param file the settings file
     * @param problem what is wrong and how to correct it
     */
    public SettingsException(Path file, String problem) {
        super(file + ": " + problem);
    }

    /**
     * Reports an error in one field.
     *
     * @param file the settings file
     * @param field path of the field, such as {@code cluster.workers.lease_s}
     * @param problem what is wrong and how to correct it
     */
    public SettingsException(Path file, String field, String problem) {
        super(file + ": " + field + " " + problem);
    }
}
