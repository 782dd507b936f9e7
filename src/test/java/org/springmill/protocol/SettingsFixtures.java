package org.springmill.protocol;

import java.util.List;
import java.util.Map;

/** Settings of a small deployment, for tests that need some and depend on few of them. */
public final class SettingsFixtures {
    private static final Settings.State STATE_LIMITS = new Settings.State(120, 20, 8192, 12);

    private SettingsFixtures() {}

    /** Settings without objectives. */
    public static Settings small() {
        return with(STATE_LIMITS, List.of());
    }

    /** Settings with other limits of the state service. */
    public static Settings with(Settings.State stateLimits) {
        return with(stateLimits, List.of());
    }

    /** Settings with objectives. */
    public static Settings with(List<Settings.Objective> objectives) {
        return with(STATE_LIMITS, objectives);
    }

    private static Settings with(Settings.State stateLimits, List<Settings.Objective> objectives) {
        return new Settings(
                "n-0",
                "a",
                "x:1",
                "x:2",
                Map.of("n-1", "x:3"),
                "c:1",
                "s:1",
                List.of("a"),
                1,
                List.of(),
                objectives,
                new Settings.Workers(2, 14, 44),
                stateLimits,
                new Settings.Cloud(4, 3),
                new Settings.Limits(0.2, 176, 700),
                OperatorSettings.DEFAULTS);
    }
}
