package org.springmill.protocol;

import java.util.OptionalDouble;

/**
 * What operators may set beside the platform's settings; docs/operations.md describes each. Those
 * of rentals are ratios, so that one file serves every deployment.
 *
 * @param idleBoots how many boot times an idle machine is kept
 * @param bootPatience how many boot times a machine may take before it is returned
 * @param reserve factor on the headroom for classes that must start sooner than a machine boots
 * @param unguaranteedPriceRatio how many times the least price per task a machine may cost that is
 *     rented for a team without a guarantee
 * @param pendingSubmissions how many submissions may wait for the state service before users are
 *     told to come back; what they would have to wait bounds them in any case
 * @param historyRetentionS how long after its end a job's record stays among those that every
 *     controller holds in memory; empty if records are never moved to the history
 * @param maxWaitS the longest expected wait for a start into which submissions are accepted; empty
 *     if the wait is not bounded
 * @param leaderShare the leader's share of the changes that the state service takes
 */
public record OperatorSettings(
        double idleBoots,
        double bootPatience,
        double reserve,
        double unguaranteedPriceRatio,
        int pendingSubmissions,
        OptionalDouble historyRetentionS,
        OptionalDouble maxWaitS,
        double leaderShare) {

    /** What counts without a file, and for each field that a file lacks. */
    public static final OperatorSettings DEFAULTS =
            new OperatorSettings(
                    1.5,
                    3.5,
                    1.0,
                    3.0,
                    Integer.MAX_VALUE,
                    OptionalDouble.empty(),
                    OptionalDouble.empty(),
                    0.6);
}
