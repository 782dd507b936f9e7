package org.springmill.control.borrowing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Checks for how long released capacity may not be borrowed again. */
class HoldDownTest {
    private static final String TYPE = "large";
    private static final double HALF_LIFE_SECONDS = 100;
    private static final double MAX_SECONDS = 30;
    private static final double WAVE_SECONDS = 5;

    private final HoldDown holdDown = new HoldDown(HALF_LIFE_SECONDS, 1, MAX_SECONDS, WAVE_SECONDS);

    @Test
    void isZeroWithoutRecallsAndForOtherMachineTypes() {
        assertEquals(0, holdDown.seconds(TYPE, 0));
        holdDown.recordRecall(TYPE, 10, 60, 0);
        assertEquals(0, holdDown.seconds("other", 0));
    }

    @Test
    void equalsTheCostOfARecallAndDecays() {
        holdDown.recordRecall(TYPE, 10, 60, 0);
        assertEquals(10, holdDown.seconds(TYPE, 0));
        assertEquals(5, holdDown.seconds(TYPE, HALF_LIFE_SECONDS), 1e-9);
        assertEquals(0, holdDown.seconds(TYPE, 10 * HALF_LIFE_SECONDS));
    }

    @Test
    void recallsOfOneWaveCountOnceByTheCostliest() {
        holdDown.recordRecall(TYPE, 4, 60, 0);
        holdDown.recordRecall(TYPE, 10, 60, 1);
        holdDown.recordRecall(TYPE, 6, 60, 2);
        assertEquals(10, holdDown.seconds(TYPE, 2), 0.1);
    }

    @Test
    void wavesAddUpToTheMaximum() {
        for (int i = 0; i < 10; i++) {
            holdDown.recordRecall(TYPE, 10, 60, 20.0 * i);
        }
        assertEquals(MAX_SECONDS, holdDown.seconds(TYPE, 180));
    }

    /**
     * Guards against load swings slightly longer than the hold-down: capacity would be borrowed in
     * each of them and recalled soon after, at a cost too low to raise the hold-down.
     */
    @Test
    void recallSoonerThanTheHoldDownDoublesIt() {
        holdDown.recordRecall(TYPE, 10, 60, 0);
        holdDown.recordRecall(TYPE, 1, 2, 20);
        assertTrue(holdDown.seconds(TYPE, 20) > 17, holdDown.seconds(TYPE, 20) + " s");
    }

    @Test
    void useOfHeldCapacityByABeneficiaryStopsTheDecay() {
        holdDown.recordRecall(TYPE, 10, 60, 0);
        double before = holdDown.seconds(TYPE, 40);
        holdDown.heldCapacityUsed(TYPE, 40, 8, 48);
        assertEquals(before, holdDown.seconds(TYPE, 48), 1e-9);
    }

    @Test
    void shortWorkIsAdmittedOnceAnIdleTimeIsKnown() {
        holdDown.recordRecall(TYPE, 10, 60, 0);
        assertFalse(holdDown.admitsShortWork(TYPE, 1, 0), "no idle time is known");
        holdDown.heldCapacityUsed(TYPE, 10, 12, 22);
        assertTrue(holdDown.admitsShortWork(TYPE, 5, 0));
        assertFalse(holdDown.admitsShortWork(TYPE, 5, 6), "too little idle time is left");
        assertFalse(holdDown.admitsShortWork(TYPE, 0, 0), "services do not end");
    }
}
