package org.springmill.control.leadership;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class LeadershipStateTest {
    @ParameterizedTest
    @CsvSource({
        "FOLLOWING, CAMPAIGNING, true",
        "FOLLOWING, LEADING, true",
        "FOLLOWING, LEASE_UNCERTAIN, false",
        "CAMPAIGNING, FOLLOWING, true",
        "CAMPAIGNING, LEADING, true",
        "CAMPAIGNING, LEASE_UNCERTAIN, false",
        "LEADING, FOLLOWING, true",
        "LEADING, CAMPAIGNING, false",
        "LEADING, LEASE_UNCERTAIN, true",
        "LEASE_UNCERTAIN, FOLLOWING, true",
        "LEASE_UNCERTAIN, CAMPAIGNING, false",
        "LEASE_UNCERTAIN, LEADING, true"
    })
    void onlyLegalTransitionsAreAllowed(LeadershipState from, LeadershipState to, boolean legal) {
        assertEquals(legal, from.mayBecome(to));
    }
}
