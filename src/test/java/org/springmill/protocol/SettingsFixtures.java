package org.springmill.protocol;

import java.util.List;
import java.util.Map;

/** Settings of a small deployment, for tests that depend on few of them. */
public final class SettingsFixtures {
    private static final String ZONE = "a";
    private static final Settings.Workers WORKERS = new Settings.Workers(2, 14, 44);
    private static final Settings.Limits LIMITS = new Settings.Limits(0.2, 176, 700);
    private static final Settings.StoreLimits STORE_LIMITS =
            new Settings.StoreLimits(120, 20, 8192, 12);

    private SettingsFixtures() {}

    /** The default settings for tests. */
    public static Settings small() {
        return settings(ZONE, WORKERS, STORE_LIMITS, LIMITS);
    }

    /** Settings with other limits of the key-value store. */
    public static Settings with(Settings.StoreLimits storeLimits) {
        return settings(ZONE, WORKERS, storeLimits, LIMITS);
    }

    /** Settings with another zone, worker intervals and limits of the host. */
    public static Settings with(String zone, Settings.Workers workers, Settings.Limits limits) {
        return settings(zone, workers, STORE_LIMITS, limits);
    }

    private static Settings settings(
            String zone,
            Settings.Workers workers,
            Settings.StoreLimits storeLimits,
            Settings.Limits limits) {
        return new Settings(
                "n-0",
                zone,
                "x:1",
                "x:2",
                Map.of("n-1", "x:3"),
                "c:1",
                "s:1",
                List.of(ZONE),
                1,
                List.of(),
                List.of(),
                workers,
                storeLimits,
                new Settings.CloudLimits(4, 3),
                limits,
                OperatorSettings.DEFAULTS);
    }
}
