package org.springmill.sim;

import java.util.Optional;
import java.util.OptionalDouble;
import org.springmill.protocol.OperatorSettings;
import org.springmill.protocol.Settings;

/**
 * The initial settings of a simulated cluster.
 *
 * @param seed of all random decisions
 * @param operator the operators' settings of all controllers
 * @param storeLimits limits of the key-value store in the settings of all controllers
 * @param heapBytes the maximum heap of each controller
 */
public record SimOptions(
        long seed, OperatorSettings operator, Settings.StoreLimits storeLimits, double heapBytes) {
    private static final double HEAP_BYTES = 56 * 1024 * 1024;

    /** The settings of tests that set nothing. */
    public static final SimOptions DEFAULTS =
            new SimOptions(1, OperatorSettings.DEFAULTS, SimSettings.STORE_LIMITS, HEAP_BYTES);

    public SimOptions withSeed(long newSeed) {
        return new SimOptions(newSeed, operator, storeLimits, heapBytes);
    }

    public SimOptions withOperator(OperatorSettings settings) {
        return new SimOptions(seed, settings, storeLimits, heapBytes);
    }

    public SimOptions withStoreLimits(Settings.StoreLimits limits) {
        return new SimOptions(seed, operator, limits, heapBytes);
    }

    public SimOptions withHeapBytes(double bytes) {
        return new SimOptions(seed, operator, storeLimits, bytes);
    }

    /** Sets how long idle machines are kept, as a multiple of their boot time. */
    public SimOptions withIdleBoots(double boots) {
        return with(
                boots,
                operator.historyRetentionSeconds(),
                operator.maxWaitSeconds(),
                operator.borrowing());
    }

    /**
     * Sets the terms on which all controllers recall loans; empty for preemption without recalls.
     */
    public SimOptions withBorrowing(Optional<OperatorSettings.Borrowing> terms) {
        return with(
                operator.idleTimeoutFactor(),
                operator.historyRetentionSeconds(),
                operator.maxWaitSeconds(),
                terms);
    }

    /** Sets the history retention of all controllers; empty if records are never archived. */
    public SimOptions withHistoryRetention(OptionalDouble seconds) {
        return with(
                operator.idleTimeoutFactor(),
                seconds,
                operator.maxWaitSeconds(),
                operator.borrowing());
    }

    /** Submissions are accepted only into queues whose expected wait is at most {@code seconds}. */
    public SimOptions withMaxWait(double seconds) {
        OptionalDouble maxWait = OptionalDouble.of(seconds);
        return with(
                operator.idleTimeoutFactor(),
                operator.historyRetentionSeconds(),
                maxWait,
                operator.borrowing());
    }

    private SimOptions with(
            double idleBoots,
            OptionalDouble historyRetention,
            OptionalDouble maxWait,
            Optional<OperatorSettings.Borrowing> borrowing) {
        return withOperator(
                new OperatorSettings(
                        idleBoots,
                        operator.bootTimeoutFactor(),
                        operator.headroomFactor(),
                        operator.unguaranteedPriceRatio(),
                        operator.pendingSubmissions(),
                        historyRetention,
                        maxWait,
                        operator.leaderShare(),
                        borrowing));
    }
}
