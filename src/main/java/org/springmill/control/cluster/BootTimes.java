package org.springmill.control.cluster;

import java.util.HashMap;
import java.util.Map;
import org.springmill.protocol.CloudMessages.MachineType;

/**
 * How long machines of each type take to boot in each zone: mean and mean deviation of what was
 * measured, smoothed as TCP does for its round trips (RFC 6298). Each term starts without
 * measurements.
 */
public final class BootTimes {
    /**
     * Most machines are up within one and a half nominal boot times. Before that none is late,
     * however quick the last ones were: boots that were quick for a while are normal again later.
     */
    private static final double MIN_BOOT_TIMES = 1.6;

    /** No machine is waited for longer than this many times what operators are ready to wait. */
    private static final double MAX_PATIENCE_FACTOR = 2;

    /** Deviation assumed after the first measurement: the cloud's stated spread and a margin. */
    private static final double INITIAL_DEVIATION_SHARE = 1 / 8.0;

    private static final double MEAN_GAIN = 1 / 8.0;
    private static final double DEVIATION_GAIN = 1 / 4.0;
    private static final double DEVIATION_FACTOR = 4;

    private final double patienceBootTimes;

    /** By type and zone, and by type alone. */
    private final Map<String, Estimate> estimates = new HashMap<>();

    private record Estimate(double meanSeconds, double deviationSeconds) {
        Estimate with(double seconds) {
            double error = seconds - meanSeconds;
            return new Estimate(
                    meanSeconds + MEAN_GAIN * error,
                    deviationSeconds + DEVIATION_GAIN * (Math.abs(error) - deviationSeconds));
        }
    }

    /**
     * @param patienceBoots how many nominal boot times operators are ready to wait
     */
    BootTimes(double patienceBoots) {
        this.patienceBootTimes = patienceBoots;
    }

    /** Records that a machine came up for the first time. */
    public void recordBoot(Machine machine, double now) {
        double seconds = now - machine.rentedAt();
        add(key(machine.type(), machine.zone()), seconds);
        add(machine.type().name(), seconds);
    }

    private void add(String key, double seconds) {
        Estimate known = estimates.get(key);
        estimates.put(
                key,
                known == null
                        ? new Estimate(seconds, seconds * INITIAL_DEVIATION_SHARE)
                        : known.with(seconds));
    }

    /**
     * After how many seconds a machine that has not come up is overdue. Where none has come up in
     * its zone, the measurements of its type in other zones count.
     */
    public double overdueAfterSeconds(MachineType type, String zone) {
        Estimate ofType = estimates.get(type.name());
        Estimate known = estimates.getOrDefault(key(type, zone), ofType);
        double measured =
                known == null
                        ? 0
                        : known.meanSeconds() + DEVIATION_FACTOR * known.deviationSeconds();
        double most = MAX_PATIENCE_FACTOR * patienceBootTimes * type.bootSeconds();
        return Math.min(most, Math.max(MIN_BOOT_TIMES * type.bootSeconds(), measured));
    }

    /** Key of an estimate. Spot machines boot like others, and share theirs. */
    public static String key(MachineType type, String zone) {
        return type.name() + '/' + zone;
    }
}
