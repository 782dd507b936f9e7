package org.springmill.control.cluster;

import java.util.HashMap;
import java.util.Map;
import org.springmill.protocol.CloudMessages.MachineType;

/**
 * How long machines of each type take to boot in each zone: mean and mean deviation of what was
 * measured, smoothed as TCP does for its round trips (RFC 6298). Known anew in each term.
 */
public final class BootTimes {
    /**
     * Most machines are up within one and a half nominal boot times. Before that none is late,
     * however quick the last ones were: boots that were quick for a while are normal again later.
     */
    private static final double MIN_BOOT_TIMES = 1.6;

    /** None is waited for much longer than operators are ready to wait. */
    private static final double MAX_PATIENCE_FACTOR = 2;

    /** Of the first time that is measured: the spread that the cloud names, and some more. */
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

    /** Notes that a machine came up for the first time. */
    public void cameUp(Machine machine, double now) {
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
     * After how long a machine that has not come up is late. Where none has come up in its zone,
     * other zones tell how long its type takes.
     */
    public double lateAfterSeconds(MachineType type, String zone) {
        Estimate ofType = estimates.get(type.name());
        Estimate known = estimates.getOrDefault(key(type, zone), ofType);
        double measured =
                known == null
                        ? 0
                        : known.meanSeconds() + DEVIATION_FACTOR * known.deviationSeconds();
        double most = MAX_PATIENCE_FACTOR * patienceBootTimes * type.bootSeconds();
        return Math.min(most, Math.max(MIN_BOOT_TIMES * type.bootSeconds(), measured));
    }

    /** Spot machines boot like others. */
    public static String key(MachineType type, String zone) {
        return type.name() + '/' + zone;
    }
}
