package org.springmill.control.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.springmill.sim.VirtualClock;

/** Tests the share of a controller, with and without loans. */
class StoreRateSharesTest {
    private static final double VALIDITY_SECONDS = 0.7;
    private static final double TOLERANCE = 1e-9;

    private final VirtualClock clock = new VirtualClock();
    private long leaderTerm = 1;

    private StoreRateShares shares(int controllers, boolean leads) {
        return new StoreRateShares(
                clock, () -> leads ? leaderTerm : 0, 0.6, controllers, VALIDITY_SECONDS, 1.002, 60);
    }

    @ParameterizedTest
    @CsvSource({"1, 1.0", "2, 0.3", "3, 0.2", "5, 0.1", "6, 0.08"})
    void followersShareTheRestEvenly(int controllers, double share) {
        StoreRateShares controllerShares = shares(controllers, controllers == 1);
        clock.run(1);
        assertEquals(share, controllerShares.current(), TOLERANCE);
    }

    /** Loans of an earlier leader may be in use until they expire. */
    @Test
    void newLeaderUsesLendablePartOnlyAfterOldLoansExpire() {
        StoreRateShares leader = shares(3, true);
        assertEquals(0.3, leader.current(), TOLERANCE);
        clock.run(VALIDITY_SECONDS * 1.01);
        assertEquals(0.6, leader.current(), TOLERANCE);
    }

    @Test
    void loanReducesShareOfLenderUntilItExpires() {
        StoreRateShares leader = shares(3, true);
        StoreRateShares other = shares(3, false);
        leader.current();
        clock.run(1);
        other.recordQueued(30);
        double lent = leader.lend("n-1", other.wantedLoan());
        other.borrow(1, clock.now(), lent);
        assertEquals(0.3, lent, TOLERANCE);
        assertEquals(0.5, other.current(), TOLERANCE);
        assertEquals(0.3, leader.current(), TOLERANCE);
        clock.run(VALIDITY_SECONDS * 1.01);
        assertEquals(0.2, other.current(), TOLERANCE);
        assertEquals(0.6, leader.current(), TOLERANCE);
    }

    /** The leader's own rounds and lease renewals come before loans. */
    @Test
    void leaderThatNeedsItsShareLendsNothing() {
        StoreRateShares leader = shares(3, true);
        leader.current();
        clock.run(1);
        leader.recordQueued(40);
        assertEquals(0, leader.lend("n-1", 0.3), TOLERANCE);
        assertEquals(0.6, leader.current(), TOLERANCE);
    }

    @Test
    void loansToSeveralControllersStayWithinMaximum() {
        StoreRateShares leader = shares(5, true);
        leader.current();
        clock.run(1);
        double lent = leader.lend("n-1", 0.2) + leader.lend("n-2", 0.2) + leader.lend("n-3", 0.2);
        assertEquals(0.3, lent, TOLERANCE);
        assertEquals(0.3, leader.current(), TOLERANCE);
    }

    @Test
    void answerToEarlierQuestionIsIgnored() {
        StoreRateShares other = shares(3, false);
        clock.run(1);
        other.borrow(2, clock.now(), 0.1);
        other.borrow(1, clock.now(), 0.3);
        assertEquals(0.3, other.current(), TOLERANCE);
        assertTrue(other.wantedLoan() < 0.01, "nothing waits");
    }
}
