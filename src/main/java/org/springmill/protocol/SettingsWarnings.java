package org.springmill.protocol;

import java.util.ArrayList;
import java.util.List;

/**
 * Finds settings that are valid but most likely unintended. Each warning names the field, the
 * consequence of its value, and what to change.
 */
public final class SettingsWarnings {
    /** Allows for one lost heartbeat, and for heartbeats late by a quarter of the interval. */
    private static final double MIN_HEARTBEATS_PER_LEASE = 2.5;

    /** Twice the heap used with the largest tested fleet; no warning asks for a larger heap. */
    private static final double MAX_SUGGESTED_HEAP_MB = 512;

    /** The JVM excludes part of the young generation from the maximum heap that it reports. */
    private static final double REPORTED_HEAP_SHARE = 0.9;

    private SettingsWarnings() {}

    /**
     * Returns the warnings; empty for consistent settings.
     *
     * @param settings to check
     * @param heapMb initial heap size of this process, in MB
     * @param heapBoundMb maximum heap size of this process, in MB
     */
    public static List<String> of(Settings settings, double heapMb, double heapBoundMb) {
        List<String> warnings = new ArrayList<>();
        addWorkerWarnings(settings.workers(), warnings);
        addZoneWarnings(settings, warnings);
        addInitialHeapWarnings(settings.limits(), heapMb, warnings);
        addMaximumHeapWarnings(settings.limits(), heapBoundMb, warnings);
        return warnings;
    }

    private static void addWorkerWarnings(Settings.Workers workers, List<String> warnings) {
        if (workers.heartbeatIntervalSeconds() * MIN_HEARTBEATS_PER_LEASE
                > workers.leaseSeconds()) {
            warnings.add(
                    "cluster.workers.report_s is "
                            + workers.heartbeatIntervalSeconds()
                            + ", so one lost report can end a lease of "
                            + workers.leaseSeconds()
                            + " s; set it to "
                            + workers.leaseSeconds() / MIN_HEARTBEATS_PER_LEASE
                            + " or less");
        }
        if (workers.cancellationDeadlineSeconds() <= workers.leaseSeconds()) {
            warnings.add(
                    "cluster.workers.cancel_s is "
                            + workers.cancellationDeadlineSeconds()
                            + ", not above lease_s, so that a cancelled task on an unreachable"
                            + " machine only ends when the machine is deleted; set it above "
                            + workers.leaseSeconds());
        }
    }

    private static void addZoneWarnings(Settings settings, List<String> warnings) {
        if (!settings.zones().contains(settings.zone())) {
            warnings.add(
                    "site is \""
                            + settings.zone()
                            + "\", which is not one of cluster.zones; correct it or add the zone");
        }
    }

    private static void addInitialHeapWarnings(
            Settings.Limits limits, double heapMb, List<String> warnings) {
        if (heapMb + Settings.Limits.MEMORY_BESIDE_HEAP_MB > limits.memoryMb()) {
            warnings.add(
                    String.format(
                            "cluster.machine_limits.ram_mb is %.0f, but as started here the heap"
                                    + " begins with %.0f MB beside about %d MB of other memory;"
                                    + " start with -Xms%.0fm or less",
                            limits.memoryMb(),
                            heapMb,
                            Settings.Limits.MEMORY_BESIDE_HEAP_MB,
                            limits.memoryMb() - Settings.Limits.MEMORY_BESIDE_HEAP_MB));
        }
    }

    /** A maximum above what ram_mb allows is harmless: the heap grows with the accepted jobs. */
    private static void addMaximumHeapWarnings(
            Settings.Limits limits, double heapBoundMb, List<String> warnings) {
        double availableMb = limits.memoryMb() - Settings.Limits.MEMORY_BESIDE_HEAP_MB;
        if (heapBoundMb < Math.min(availableMb, MAX_SUGGESTED_HEAP_MB) * REPORTED_HEAP_SHARE) {
            warnings.add(
                    String.format(
                            "cluster.machine_limits.ram_mb is %.0f, but as started here the heap"
                                    + " cannot grow beyond %.0f MB; start with -Xmx%.0fm or more,"
                                    + " as the run line of deploy/service.toml does",
                            limits.memoryMb(),
                            heapBoundMb,
                            Math.min(availableMb, MAX_SUGGESTED_HEAP_MB)));
        }
    }
}
