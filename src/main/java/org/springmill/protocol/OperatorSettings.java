package org.springmill.protocol;

import com.bertramlabs.plugins.hcl4j.HCLParser;
import com.bertramlabs.plugins.hcl4j.HCLParserException;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.Set;

/**
 * What operators may set beside the platform's settings, in an optional HCL file. All are ratios,
 * so that one file serves every deployment; docs/operations.md describes each.
 *
 * @param idleBoots how many boot times an idle machine is kept
 * @param bootPatience how many boot times a machine may take before it is given back
 * @param reserve factor on the room kept ready for classes that must start sooner than a machine
 *     boots
 * @param pendingSubmissions how many submissions may wait for the state service before users are
 *     told to come back
 */
public record OperatorSettings(
        double idleBoots, double bootPatience, double reserve, int pendingSubmissions) {
    public static final OperatorSettings DEFAULTS = new OperatorSettings(1.5, 3.5, 1.0, 128);

    private static final Map<String, Set<String>> KNOWN =
            Map.of(
                    "rentals", Set.of("idle_boots", "boot_patience", "reserve"),
                    "users", Set.of("pending_submissions"));

    public static OperatorSettings read(Path file) throws SettingsException {
        Map<String, Object> root;
        try {
            root = new HCLParser().parse(Files.readString(file));
        } catch (HCLParserException | RuntimeException e) {
            throw new SettingsException(file + ": not valid HCL: " + e.getMessage());
        } catch (IOException e) {
            throw new SettingsException(
                    file + ": cannot be read; name an existing HCL file with --operator");
        }
        for (Map.Entry<String, Object> block : root.entrySet()) {
            Set<String> fields = KNOWN.get(block.getKey());
            if (fields == null) {
                throw new SettingsException(
                        file
                                + ": "
                                + block.getKey()
                                + " is not known; use one of "
                                + sorted(KNOWN.keySet()));
            }
            if (!(block.getValue() instanceof Map<?, ?> values)) {
                throw new SettingsException(
                        file
                                + ": "
                                + block.getKey()
                                + " must be a block: "
                                + block.getKey()
                                + " { ... }");
            }
            for (Object field : values.keySet()) {
                if (!fields.contains(field.toString())) {
                    throw new SettingsException(
                            file
                                    + ": "
                                    + block.getKey()
                                    + "."
                                    + field
                                    + " is not known; use one of "
                                    + sorted(fields));
                }
            }
        }
        return new OperatorSettings(
                number(file, root, "rentals", "idle_boots", DEFAULTS.idleBoots, 0.1, 100),
                number(file, root, "rentals", "boot_patience", DEFAULTS.bootPatience, 1.5, 100),
                number(file, root, "rentals", "reserve", DEFAULTS.reserve, 0, 10),
                (int)
                        number(
                                file,
                                root,
                                "users",
                                "pending_submissions",
                                DEFAULTS.pendingSubmissions,
                                1,
                                10_000));
    }

    private static String sorted(Set<String> names) {
        return String.join(", ", new java.util.TreeSet<>(names));
    }

    private static double number(
            Path file,
            Map<String, Object> root,
            String block,
            String field,
            double otherwise,
            double least,
            double most)
            throws SettingsException {
        Object value = root.get(block) instanceof Map<?, ?> values ? values.get(field) : null;
        if (value == null) {
            return otherwise;
        }
        double number = value instanceof Number n ? n.doubleValue() : Double.NaN;
        if (!(number >= least && number <= most)) {
            throw new SettingsException(
                    file
                            + ": "
                            + block
                            + "."
                            + field
                            + " must be a number from "
                            + least
                            + " to "
                            + most);
        }
        return number;
    }
}
