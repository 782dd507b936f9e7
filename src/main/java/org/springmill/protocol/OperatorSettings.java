package org.springmill.protocol;

import java.util.Optional;
import java.util.OptionalDouble;

/**
 * The operators' own settings, which add to those of the platform; docs/operations.md describes
 * each. Settings for rentals are ratios, so that one file fits every deployment.
 *
 * @param idleTimeoutFactor how long an idle machine is kept, as a multiple of the boot time
 * @param bootTimeoutFactor how long a machine may take to boot before it is returned, as a multiple
 *     of the boot time
 * @param headroomFactor factor on the headroom for classes whose objective is shorter than the boot
 *     time of a machine
 * @param unguaranteedPriceRatio highest price of a machine that is rented for a team without a
 *     guarantee, as a multiple of the lowest price per task
 * @param pendingSubmissions maximum number of submissions that wait for the key-value store;
 *     further ones are refused with a retry time. The expected wait limits the number as well
 * @param historyRetentionSeconds how long after its end a job's record stays in the memory of every
 *     controller before it is archived; empty if records are never archived
 * @param maxWaitSeconds longest expected wait for a start at which submissions are still accepted;
 *     empty if the wait is not bounded
 * @param leaderShare the leader's share of the key-value store's write rate
 * @param borrowing rules for borrowing other teams' unused guarantees; empty if borrowed resources
 *     are reclaimed by preemption without a recall
 */
public record OperatorSettings(
        double idleTimeoutFactor,
        double bootTimeoutFactor,
        double headroomFactor,
        double unguaranteedPriceRatio,
        int pendingSubmissions,
        OptionalDouble historyRetentionSeconds,
        OptionalDouble maxWaitSeconds,
        double leaderShare,
        Optional<Borrowing> borrowing) {

    /**
     * Rules for borrowing the unused guarantees of other teams.
     *
     * @param maxGraceLeases the longest grace period of a recalled task, in leases of the workers
     * @param holdDownRatio factor on the measured cost of a recall; gives the hold-down that the
     *     recall adds, for which returned resources are not lent again; 0 lends them immediately
     * @param holdDownHalfLifeLeases half-life of the hold-down that a recall adds, in leases of the
     *     workers
     */
    public record Borrowing(
            double maxGraceLeases, double holdDownRatio, double holdDownHalfLifeLeases) {
        /** Defaults of the fields that the block does not set. */
        public static final Borrowing DEFAULTS = new Borrowing(1.0, 1.0, 20.0);
    }

    /** Used without a file, and for fields that the file does not set. */
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
