package org.springmill.protocol;

import java.util.ArrayList;
import java.util.List;

/**
 * Finds settings that a controller can run with but that were most likely not meant. Each warning
 * names the field, what follows from its value, and what to change.
 */
public final class SettingsWarnings {
    /** A report may be late by a quarter of its interval, and one may be lost on the way. */
    private static final double REPORTS_PER_LEASE = 2.5;

    private SettingsWarnings() {}

    /**
     * Returns the warnings, none for settings that fit together.
     *
     * @param heapBoundMb the largest heap that this process may have
     */
    public static List<String> of(Settings settings, double heapBoundMb) {
        List<String> warnings = new ArrayList<>();
        addTimes(settings.workers(), warnings);
        addZones(settings, warnings);
        addMemory(settings.limits(), heapBoundMb, warnings);
        return warnings;
    }

    private static void addTimes(Settings.Workers workers, List<String> warnings) {
        if (workers.reportS() * REPORTS_PER_LEASE > workers.leaseS()) {
            warnings.add(
                    "cluster.workers.report_s is "
                            + workers.reportS()
                            + ", so one lost report can end a lease of "
                            + workers.leaseS()
                            + " s; set it to "
                            + workers.leaseS() / REPORTS_PER_LEASE
                            + " or less");
        }
        if (workers.cancelS() <= workers.leaseS()) {
            warnings.add(
                    "cluster.workers.cancel_s is "
                            + workers.cancelS()
                            + ", not above lease_s, so that a cancelled task out of reach is only"
                            + " removed by deleting its machine; set it above "
                            + workers.leaseS());
        }
    }

    private static void addZones(Settings settings, List<String> warnings) {
        if (!settings.zones().contains(settings.zone())) {
            warnings.add(
                    "site is \""
                            + settings.zone()
                            + "\", which is not one of cluster.zones; correct it or add the zone");
        }
    }

    private static void addMemory(
            Settings.Limits limits, double heapBoundMb, List<String> warnings) {
        if (heapBoundMb + Settings.Limits.MEMORY_BESIDE_HEAP_MB > limits.memoryMb()) {
            warnings.add(
                    String.format(
                            "cluster.machine_limits.ram_mb is %.0f, but as started here the heap may"
                                    + " grow to %.0f MB beside some %d MB of other memory; start"
                                    + " with -Xmx%.0fm or less",
                            limits.memoryMb(),
                            heapBoundMb,
                            Settings.Limits.MEMORY_BESIDE_HEAP_MB,
                            limits.memoryMb() - Settings.Limits.MEMORY_BESIDE_HEAP_MB));
        }
    }
}
