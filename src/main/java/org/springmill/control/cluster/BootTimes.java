package org.springmill.control.cluster;

import java.util.HashMap;
import java.util.Map;
import org.springmill.protocol.CloudMessages.MachineType;

/**
 * How long machines of each type take to boot in each zone: smoothed mean and mean deviation of the
 * measured times, as in TCP's round-trip estimate (RFC 6298). Each term starts without
 * measurements.
 */
public final class BootTimes {
    /**
     * Lower bound of the timeout, in nominal boot times. Most machines are up within 1.5 of them. A
     * period of faster boots does not lower the timeout below this, since it may end at any time.
     */
    private static final double MIN_TIMEOUT_BOOT_TIMES = 1.6;

    /** Upper bound of the timeout, as a multiple of the configured one. */
    private static final double MAX_TIMEOUT_FACTOR = 2;

    /**
     * Deviation assumed after the first measurement, as a share of it: the spread that the cloud
     * states, and a margin.
     */
    private static final double INITIAL_DEVIATION_SHARE = 1 / 8.0;

    private static final double MEAN_GAIN = 1 / 8.0;
    private static final double DEVIATION_GAIN = 1 / 4.0;
    private static final double DEVIATION_FACTOR = 4;

    private final double timeoutBootTimes;

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
     * @param timeoutBootTimes the configured timeout of a boot, in nominal boot times
     */
    BootTimes(double timeoutBootTimes) {
        this.timeoutBootTimes = timeoutBootTimes;
    }

    /** Records the boot time of a machine that has just come up for the first time. */
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
     * The timeout of a boot in seconds: a machine that is not up by then is overdue. Without
     * measurements in its zone, those of its type in other zones are used.
     */
    public double overdueAfterSeconds(MachineType type, String zone) {
        Estimate ofType = estimates.get(type.name());
        Estimate known = estimates.getOrDefault(key(type, zone), ofType);
        double measured =
                known == null
                        ? 0
                        : known.meanSeconds() + DEVIATION_FACTOR * known.deviationSeconds();
        double maxSeconds = MAX_TIMEOUT_FACTOR * timeoutBootTimes * type.bootSeconds();
        return Math.min(
                maxSeconds, Math.max(MIN_TIMEOUT_BOOT_TIMES * type.bootSeconds(), measured));
    }

    /** Key of an estimate. Spot machines boot like others and share their estimates. */
    public static String key(MachineType type, String zone) {
        return type.name() + '/' + zone;
    }
}
