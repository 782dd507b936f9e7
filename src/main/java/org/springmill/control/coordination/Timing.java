package org.springmill.control.coordination;

import org.springmill.protocol.Settings;

/**
 * The times that safety and failover hang on, all ratios to the workers' lease and report interval.
 * The argument for them is in docs/design.md, "When a task may start again".
 *
 * @param leaderTtlS lease of the leader in the state service
 * @param renewS interval of its renewals, and of the followers' looks at the leader's record
 * @param graceS how long after its lease may have run out a leader still answers reports without
 *     its peers' word
 * @param confirmS how long a peer's word that it cannot reach the state service is good for, from
 *     the question on
 * @param leaseS a worker's lease as seen from another clock
 * @param claimWindowS after this an unconfirmed start is unknown and is settled
 * @param probeS a worker not heard for this long, longer than its reports are apart, is asked
 * @param quietS a worker not heard for this long gets no new work
 * @param silentS a worker not heard for this long, and not answering orders either, is as good as
 *     dead
 * @param cancelDeleteS a cancelled task not gone by then has its machine deleted
 * @param unknowingS how long after the last moment up to which it knows every cancellation a
 *     controller may renew leases: what is renewed then is over before anything cancelled since has
 *     to be gone
 */
record Timing(
        double leaderTtlS,
        double renewS,
        double graceS,
        double confirmS,
        double pingS,
        double stateTimeoutS,
        double leaseS,
        double reportS,
        double claimWindowS,
        double probeS,
        double quietS,
        double silentS,
        double orderTimeoutS,
        double cancelDeleteS,
        double unknowingS) {

    /** Drift of two clocks against each other, doubled, and timers that fire late. */
    private static final double DRIFT = 1.002;

    static Timing of(Settings settings) {
        double lease = settings.workers().leaseS();
        double report = settings.workers().reportS();
        double ttl = lease / 5;
        double cancel = settings.workers().cancelS();
        double seenLease = lease * DRIFT + report / 10;
        // Where cancellations have less time than leases only deletion keeps it; some leases have
        // to be given all the same.
        double unknowing = Math.max(lease / 2, cancel / DRIFT - seenLease - report / 2);
        return new Timing(
                ttl,
                ttl / 4,
                ttl,
                ttl / 2,
                ttl / 8,
                ttl / 3,
                seenLease,
                report,
                lease * 0.3,
                report * 1.25 * 1.15,
                report * 1.25 * 1.6,
                report * 2.1,
                report * 0.6,
                cancel * 0.55,
                unknowing);
    }

    /**
     * Silence between controllers longer than anyone acts on a word: whoever was just answered does
     * not stand in.
     */
    double unheardS() {
        return 2 * confirmS;
    }

    /**
     * How long other controllers keep the workers that come to them after a new leader was heard
     * of.
     */
    double helpS() {
        return leaseS / 4;
    }

    /** How long after a peer's word someone may still act on it. */
    double wordS() {
        return confirmS * DRIFT;
    }

    /** How long after a leader took over another controller may still renew a worker's lease. */
    double othersS() {
        return Math.max(leaderTtlS + graceS, confirmS) * DRIFT;
    }
}
