package org.springmill.emulator;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.springmill.protocol.SettingsException;

/**
 * One block of a scenario file. It records which fields were read, so that all others can be
 * rejected as unknown. Each error names the file, the field and a remedy.
 */
final class ScenarioBlock {
    private final Path file;
    private final String path;
    private final Map<String, Object> fields;
    private final Set<String> known = new HashSet<>();

    ScenarioBlock(Path file, String path, Map<String, Object> fields) {
        this.file = file;
        this.path = path;
        this.fields = fields;
    }

    /** The last part of the path of this block. */
    String label() {
        return path.substring(path.lastIndexOf('.') + 1);
    }

    private String pathOf(String field) {
        return path.isEmpty() ? field : path + "." + field;
    }

    /** Whether a field is present; it counts as known from then on. */
    boolean has(String field) {
        known.add(field);
        return fields.containsKey(field);
    }

    /** Reads a block within this one, which must be present. */
    @SuppressWarnings("unchecked")
    ScenarioBlock block(String field) throws SettingsException {
        if (!has(field) || !(fields.get(field) instanceof Map<?, ?> map)) {
            throw new SettingsException(
                    file, pathOf(field), "is missing; add a block " + field + " { ... }");
        }
        return new ScenarioBlock(file, pathOf(field), (Map<String, Object>) map);
    }

    /** The blocks within this one; all its fields must be blocks. */
    List<ScenarioBlock> children() throws SettingsException {
        List<ScenarioBlock> children = new ArrayList<>();
        for (String name : fields.keySet()) {
            children.add(block(name));
        }
        return children;
    }

    /** Reads a number that must be present. */
    double number(String field, double min, double max) throws SettingsException {
        return number(field, Double.NaN, min, max);
    }

    /**
     * Reads a number.
     *
     * @param defaultValue the value if the field is absent; NaN if the field must be present
     */
    double number(String field, double defaultValue, double min, double max)
            throws SettingsException {
        if (!has(field) && !Double.isNaN(defaultValue)) {
            return defaultValue;
        }
        Object value = fields.get(field);
        double number = value instanceof Number given ? given.doubleValue() : Double.NaN;
        if (!(number >= min && number <= max)) {
            throw new SettingsException(
                    file,
                    pathOf(field),
                    "must be a number from "
                            + plain(min)
                            + " to "
                            + plain(max)
                            + "; got "
                            + (value == null ? "none" : value));
        }
        return number;
    }

    private static String plain(double number) {
        return number == Math.rint(number) ? Long.toString((long) number) : Double.toString(number);
    }

    /** Reads a text that must be present. */
    String text(String field) throws SettingsException {
        if (!has(field) || !(fields.get(field) instanceof String text) || text.isBlank()) {
            throw new SettingsException(file, pathOf(field), "must be a text in quotes");
        }
        return text;
    }

    /** Reads the name of an enum constant, ignoring case. */
    <T extends Enum<T>> T oneOf(String field, Class<T> type) throws SettingsException {
        String found = text(field);
        String name = found.toUpperCase(Locale.ROOT);
        Set<String> names = new TreeSet<>();
        for (T value : type.getEnumConstants()) {
            if (value.name().equals(name)) {
                return value;
            }
            names.add(value.name().toLowerCase(Locale.ROOT));
        }
        throw new SettingsException(
                file,
                pathOf(field),
                "must be one of " + String.join(", ", names) + "; got " + found);
    }

    /**
     * Rejects fields that were not read.
     *
     * @throws SettingsException if there is one
     */
    void refuseUnknown() throws SettingsException {
        for (String field : fields.keySet()) {
            if (!known.contains(field)) {
                throw new SettingsException(
                        file,
                        pathOf(field),
                        "is not known; use one of "
                                + String.join(", ", new TreeSet<>(known))
                                + " or remove it");
            }
        }
    }
}
