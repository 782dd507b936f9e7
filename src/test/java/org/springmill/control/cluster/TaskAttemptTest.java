package org.springmill.control.cluster;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.springmill.control.cluster.TaskAttempt.State;
import org.springmill.control.storage.Claim;
import org.springmill.protocol.TaskId;

class TaskAttemptTest {
    @ParameterizedTest
    @CsvSource({
        "CLAIMED SENT FETCHING RUNNING ENDED CLOSED,  true",
        "CLAIMED SENT RUNNING STOPPING ENDED CLOSED,  true",
        "CLAIMED SENT UNKNOWN RUNNING ENDED CLOSED,   true",
        "UNKNOWN FETCHING RUNNING STOPPING ENDED,     true",
        "CLAIMED ENDED CLOSED,                        true",
        "SENT,                                        false",
        "CLAIMED SENT UNKNOWN SENT,                   false",
        "CLAIMED SENT ENDED RUNNING,                  false",
        "CLAIMED SENT STOPPING RUNNING,               false",
        "CLAIMED CLOSED,                              false",
        "ENDED,                                       false",
    })
    void onlyLegalTransitionsAreMade(String path, boolean legal) {
        Claim claim = Claim.decide(new TaskId("run-000001", 0), "host-000001", 7);
        TaskAttempt attempt = new TaskAttempt(claim, null, null, 0);
        boolean all = true;
        for (String state : path.trim().split(" ")) {
            State before = attempt.state();
            boolean changed = attempt.transition(State.valueOf(state), 1);
            assertEquals(changed ? State.valueOf(state) : before, attempt.state());
            all &= changed;
        }
        assertEquals(legal, all);
    }
}
