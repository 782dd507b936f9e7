package org.springmill.protocol;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * One table of a settings file. Each accessor checks the value that it returns; the exception that
 * it throws names the file, the path of the field, and how to correct it. A missing table is
 * treated as an empty one.
 */
final class SettingsTable {
    private static final int MAX_PORT = 65_535;
    private static final String EXAMPLE_ADDRESS = "\"10.0.0.1:8080\"";

    private final Path file;
    private final String path;
    private final JsonNode node;

    private SettingsTable(Path file, String path, JsonNode node) {
        this.file = file;
        this.path = path;
        this.node = node;
    }

    /** The outermost table, which has no name. */
    static SettingsTable root(Path file, JsonNode node) {
        return new SettingsTable(file, "", node);
    }

    /** A table inside this one. */
    SettingsTable table(String name) {
        return new SettingsTable(file, path + name + '.', node.path(name));
    }

    /**
     * A table inside this one; null if there is none.
     *
     * @param example of such a table, for the error message
     * @throws SettingsException if the field is not a table
     */
    SettingsTable optionalTable(String name, String example) throws SettingsException {
        JsonNode found = node.path(name);
        if (found.isMissingNode()) {
            return null;
        }
        if (!found.isObject()) {
            throw invalid(name, "must be a table of limits, such as " + example);
        }
        return table(name);
    }

    /** A list of tables inside this one; empty if it is missing. */
    List<SettingsTable> tables(String name) throws SettingsException {
        List<SettingsTable> tables = new ArrayList<>();
        for (JsonNode element : list(name)) {
            String elementPath = path + name + '[' + tables.size() + "].";
            tables.add(new SettingsTable(file, elementPath, element));
        }
        return tables;
    }

    /** A list of texts; empty if it is missing. */
    List<String> texts(String name) throws SettingsException {
        List<String> texts = new ArrayList<>();
        for (JsonNode element : list(name)) {
            texts.add(element.asText());
        }
        return List.copyOf(texts);
    }

    private JsonNode list(String name) throws SettingsException {
        JsonNode found = node.path(name);
        if (!found.isMissingNode() && !found.isArray()) {
            throw invalid(name, "must be a list");
        }
        return found;
    }

    /** Whether this table has a field of that name, of any type. */
    boolean has(String field) {
        return node.has(field);
    }

    /** A text that is not empty. */
    String text(String field) throws SettingsException {
        JsonNode found = node.path(field);
        if (found.isMissingNode()) {
            throw invalid(field, "is missing; add it as a text");
        }
        if (!found.isTextual() || found.textValue().isEmpty()) {
            throw invalid(field, "must be a text that is not empty");
        }
        return found.textValue();
    }

    /** A text, or null if there is none. */
    String optionalText(String field) {
        JsonNode found = node.path(field);
        return found.isTextual() ? found.textValue() : null;
    }

    /** A host and a port. */
    String address(String field) throws SettingsException {
        String address = text(field);
        int colon = address.lastIndexOf(':');
        boolean hasHost = colon >= 1;
        if (!hasHost || !isPort(address.substring(colon + 1))) {
            throw invalid(field, "is \"" + address + "\"; write it as " + EXAMPLE_ADDRESS);
        }
        return address;
    }

    private static boolean isPort(String text) {
        try {
            int port = Integer.parseInt(text);
            return port >= 0 && port <= MAX_PORT;
        } catch (NumberFormatException e) {
            return false;
        }
    }

    /** A finite number of at least 0. */
    double number(String field) throws SettingsException {
        JsonNode found = node.path(field);
        if (found.isMissingNode()) {
            throw invalid(field, "is missing; add it as a number");
        }
        double value = found.isNumber() ? found.doubleValue() : Double.NaN;
        if (!Double.isFinite(value) || value < 0) {
            throw invalid(field, "must be a number of at least 0, but is " + found);
        }
        return value;
    }

    /** A finite number of at least 0, or 0 if it is missing. */
    double optionalNumber(String field) throws SettingsException {
        return has(field) ? number(field) : 0;
    }

    /** A finite number above 0. */
    double positive(String field) throws SettingsException {
        double value = number(field);
        if (value <= 0) {
            throw invalid(field, "must be above 0");
        }
        return value;
    }

    /**
     * A number of at least a minimum. Smaller values are rejected at startup, since they would only
     * fail in operation.
     *
     * @param purpose what needs the minimum, for the error message
     */
    double atLeast(String field, int minimum, String purpose) throws SettingsException {
        double value = number(field);
        if (value < minimum) {
            throw invalid(
                    field, "must be at least " + minimum + ' ' + purpose + ", but is " + value);
        }
        return value;
    }

    /** The exception for an invalid field of this table. */
    SettingsException invalid(String field, String problem) {
        return new SettingsException(file, path + field, problem);
    }
}
