package org.springmill.protocol;

import java.util.Optional;
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
 * @param pendingSubmissions how many submissions may wait for the key-value store before users are
 *     told to come back; what they would have to wait bounds them in any case
 * @param historyRetentionSeconds how long after its end a job's record stays among those that every
 *     controller holds in memory; empty if records are never moved to the history
 * @param maxWaitSeconds the longest expected wait for a start into which submissions are accepted;
 *     empty if the wait is not bounded
 * @param leaderShare the leader's share of the changes that the key-value store takes
 * @param borrowing terms of loans between teams; empty if tasks are preempted without recalls
 */
public record OperatorSettings(
        double idleBoots,
        double bootPatience,
        double reserve,
        double unguaranteedPriceRatio,
        int pendingSubmissions,
        OptionalDouble historyRetentionSeconds,
        OptionalDouble maxWaitSeconds,
        double leaderShare,
        Optional<Borrowing> borrowing) {

    /**
     * Terms on which teams use what others are guaranteed and don't use at the moment.
     *
     * @param maxGraceLeases the longest time that a task may save when it is recalled, in leases of
     *     the workers
     * @param holdDownRatio factor on the measured cost of a recall, for which resources that come
     *     back stay unlent; 0 lends them again at once
     * @param holdDownHalfLifeLeases time in which half of what a recall added to the hold-down
     *     decays, in leases of the workers
     */
    public record Borrowing(
            double maxGraceLeases, double holdDownRatio, double holdDownHalfLifeLeases) {
        /** What counts for each field that the block lacks. */
        public static final Borrowing DEFAULTS = new Borrowing(1.0, 1.0, 20.0);
    }

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
                    0.6,
                    Optional.empty());
}
