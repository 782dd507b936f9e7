package org.springmill.sim;

import java.util.Optional;
import java.util.OptionalDouble;
import org.springmill.protocol.OperatorSettings;
import org.springmill.protocol.Settings;

/**
 * What a simulated cluster starts with.
 *
 * @param seed of everything that is random
 * @param operator the operators' settings of all controllers
 * @param stateLimits limits of the key-value store in the settings of all controllers
 * @param heapBytes the largest heap of each controller
 */
public record SimOptions(
        long seed, OperatorSettings operator, Settings.StoreLimits stateLimits, double heapBytes) {
    private static final double HEAP_BYTES = 56 * 1024 * 1024;

    /** What holds unless a test says otherwise. */
    public static final SimOptions DEFAULTS =
            new SimOptions(1, OperatorSettings.DEFAULTS, SimSettings.STATE_LIMITS, HEAP_BYTES);

    public SimOptions withSeed(long newSeed) {
        return new SimOptions(newSeed, operator, stateLimits, heapBytes);
    }

    public SimOptions withOperator(OperatorSettings settings) {
        return new SimOptions(seed, settings, stateLimits, heapBytes);
    }

    public SimOptions withStateLimits(Settings.StoreLimits limits) {
        return new SimOptions(seed, operator, limits, heapBytes);
    }

    public SimOptions withHeapBytes(double bytes) {
        return new SimOptions(seed, operator, stateLimits, bytes);
    }

    /** Idle machines are kept for so many boots. */
    public SimOptions withIdleBoots(double boots) {
        return with(
                boots,
                operator.historyRetentionSeconds(),
                operator.maxWaitSeconds(),
                operator.borrowing());
    }

    /** All controllers recall loans on these terms, or preempt without recalls. */
    public SimOptions withBorrowing(Optional<OperatorSettings.Borrowing> terms) {
        return with(
                operator.idleTimeoutFactor(),
                operator.historyRetentionSeconds(),
                operator.maxWaitSeconds(),
                terms);
    }

    /** All controllers keep the bounded history with that retention, or do not take part in it. */
    public SimOptions withHistoryRetention(OptionalDouble seconds) {
        return with(
                operator.idleTimeoutFactor(),
                seconds,
                operator.maxWaitSeconds(),
                operator.borrowing());
    }

    /** Submissions are accepted only into queues whose expected wait is no longer than that. */
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
            Optional<OperatorSettings.Borrowing> terms) {
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
                        terms));
    }
}
