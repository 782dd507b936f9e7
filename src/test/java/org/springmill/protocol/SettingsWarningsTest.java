package org.springmill.protocol;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Checks which settings cause a warning and which remedy the warning names. */
class SettingsWarningsTest {
    @ParameterizedTest(name = "{0}")
    @CsvSource({
        "settings that fit together, a, 5, 26, 56, 148, 768, ''",
        "the run line just fits, a, 5, 26, 56, 128, 768, ''",
        "less memory than the heap needs, a, 5, 26, 56, 127, 768, ram_mb is 127: begins with 56 MB: -Xms55m or less",
        "a lost report ends a lease, a, 11, 26, 56, 148, 768, report_s is 11.0: set it to 10.4 or less",
        "reports just often enough, a, 10.4, 26, 56, 148, 768, ''",
        "a lease as long as a cancellation, a, 5, 26, 26, 148, 768, cancel_s is 26.0: set it above 26.0",
        "a zone that is not listed, c, 5, 26, 56, 148, 768, site is: add the zone",
        "a heap that cannot follow ram_mb, a, 5, 26, 56, 414, 56, ram_mb is 414: beyond 56 MB: -Xmx342m or more",
        "enough heap for any fleet, a, 5, 26, 56, 4000, 512, ''",
    })
    void unintendedSettingsCauseWarnings(
            String situation,
            String zone,
            double heartbeatIntervalSeconds,
            double leaseSeconds,
            double cancelSeconds,
            double memoryMb,
            double heapBoundMb,
            String expected) {
        Settings settings =
                SettingsFixtures.with(
                        zone,
                        new Settings.Workers(heartbeatIntervalSeconds, leaseSeconds, cancelSeconds),
                        new Settings.Limits(0.1, memoryMb, 600));
        List<String> warnings = SettingsWarnings.of(settings, 56, heapBoundMb);
        assertEquals(expected.isEmpty() ? 0 : 1, warnings.size(), () -> situation + warnings);
        for (String part : expected.isEmpty() ? List.<String>of() : List.of(expected.split(": "))) {
            assertTrue(warnings.get(0).contains(part), warnings::toString);
        }
    }
}
