package org.springmill.protocol;

import java.nio.file.Path;

/**
 * A settings file that cannot be used. The message names the file, the field if one is at fault,
 * and how to correct it.
 */
public final class SettingsException extends Exception {
    private static final long serialVersionUID = 1L;

    /**
     * An error of a whole file.
     *
     * @param file the settings file
     * @param problem what is wrong and how to correct it
     */
    public SettingsException(Path file, String problem) {
        super(file + ": " + problem);
    }

    /**
     * An error of one field.
     *
     * @param file the settings file
     * @param field the field, with the tables around it
     * @param problem what is wrong and how to correct it
     */
    public SettingsException(Path file, String field, String problem) {
        super(file + ": " + field + " " + problem);
    }
}
