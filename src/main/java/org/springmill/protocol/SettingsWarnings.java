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

    /** Enough for the largest fleet that was run, twice over; no more than that is asked for. */
    private static final double LARGEST_FLEET_HEAP_MB = 512;

    /** The JVM counts a part of the young generation out of what it was given. */
    private static final double USABLE_SHARE = 0.9;

    private SettingsWarnings() {}

    /**
     * Returns the warnings, none for settings that fit together.
     *
     * @param heapMb the heap that this process has at its start
     * @param heapBoundMb the largest heap that this process may have
     */
    public static List<String> of(Settings settings, double heapMb, double heapBoundMb) {
        List<String> warnings = new ArrayList<>();
        addTimes(settings.workers(), warnings);
        addZones(settings, warnings);
        addHeapAtStart(settings.limits(), heapMb, warnings);
        addHeapBound(settings.limits(), heapBoundMb, warnings);
        return warnings;
    }

    private static void addTimes(Settings.Workers workers, List<String> warnings) {
        if (workers.heartbeatIntervalSeconds() * REPORTS_PER_LEASE > workers.leaseSeconds()) {
            warnings.add(
                    "cluster.workers.report_s is "
                            + workers.heartbeatIntervalSeconds()
                            + ", so one lost report can end a lease of "
                            + workers.leaseSeconds()
                            + " s; set it to "
                            + workers.leaseSeconds() / REPORTS_PER_LEASE
                            + " or less");
        }
        if (workers.cancellationDeadlineSeconds() <= workers.leaseSeconds()) {
            warnings.add(
                    "cluster.workers.cancel_s is "
                            + workers.cancellationDeadlineSeconds()
                            + ", not above lease_s, so that a cancelled task out of reach is only"
                            + " removed by deleting its machine; set it above "
                            + workers.leaseSeconds());
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

    private static void addHeapAtStart(
            Settings.Limits limits, double heapMb, List<String> warnings) {
        if (heapMb + Settings.Limits.MEMORY_BESIDE_HEAP_MB > limits.memoryMb()) {
            warnings.add(
                    String.format(
                            "cluster.machine_limits.ram_mb is %.0f, but as started here the heap"
                                    + " begins with %.0f MB beside some %d MB of other memory;"
                                    + " start with -Xms%.0fm or less",
                            limits.memoryMb(),
                            heapMb,
                            Settings.Limits.MEMORY_BESIDE_HEAP_MB,
                            limits.memoryMb() - Settings.Limits.MEMORY_BESIDE_HEAP_MB));
        }
    }

    /** A bound above what ram_mb leaves does no harm: the heap grows with what is accepted. */
    private static void addHeapBound(
            Settings.Limits limits, double heapBoundMb, List<String> warnings) {
        double usable = limits.memoryMb() - Settings.Limits.MEMORY_BESIDE_HEAP_MB;
        if (heapBoundMb < Math.min(usable, LARGEST_FLEET_HEAP_MB) * USABLE_SHARE) {
            warnings.add(
                    String.format(
                            "cluster.machine_limits.ram_mb is %.0f, but as started here the heap"
                                    + " may not grow beyond %.0f MB; start with -Xmx%.0fm or more,"
                                    + " as the run line of deploy/service.toml does",
                            limits.memoryMb(),
                            heapBoundMb,
                            Math.min(usable, LARGEST_FLEET_HEAP_MB)));
        }
    }
}
