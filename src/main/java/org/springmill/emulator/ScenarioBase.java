package org.springmill.emulator;

import java.nio.file.Path;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import org.springmill.protocol.HclFile;
import org.springmill.protocol.SettingsException;

/**
 * Lets a scenario build on another one in the same folder: {@code base = "target.hcl"}. What it
 * sets replaces that field of the base, whatever it does not set stays.
 */
final class ScenarioBase {
    private static final String BASE = "base";

    private ScenarioBase() {}

    /** The fields and blocks of a scenario, with those of the one that it builds on. */
    static Map<String, Object> read(Path file) throws SettingsException {
        Map<String, Object> own = new HashMap<>(HclFile.read(file, "--scenario"));
        Object base = own.remove(BASE);
        if (base == null) {
            return own;
        }
        Path baseFile = file.resolveSibling(base.toString());
        Map<String, Object> fields = HclFile.read(baseFile, BASE + " in " + file);
        if (fields.containsKey(BASE)) {
            throw new SettingsException(
                    file, BASE, "names a scenario that builds on another; name that one");
        }
        return merged(fields, own);
    }

    private static Map<String, Object> merged(Map<?, ?> base, Map<?, ?> own) {
        Map<String, Object> merged = new LinkedHashMap<>();
        base.forEach((name, value) -> merged.put(name.toString(), value));
        own.forEach((name, value) -> merged.merge(name.toString(), value, ScenarioBase::merged));
        return merged;
    }

    private static Object merged(Object base, Object own) {
        boolean blocks = base instanceof Map && own instanceof Map;
        return blocks ? merged((Map<?, ?>) base, (Map<?, ?>) own) : own;
    }
}
