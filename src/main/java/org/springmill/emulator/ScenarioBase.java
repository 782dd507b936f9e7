package org.springmill.emulator;

import java.nio.file.Path;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import org.springmill.protocol.HclFile;
import org.springmill.protocol.SettingsException;

/**
 * Lets a scenario extend another one in the same folder: {@code base = "target.hcl"}. Fields that
 * it sets replace those of the base; all other fields are inherited.
 */
final class ScenarioBase {
    private static final String BASE = "base";

    private ScenarioBase() {}

    /** Reads the fields and blocks of a scenario, including those that it inherits. */
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
