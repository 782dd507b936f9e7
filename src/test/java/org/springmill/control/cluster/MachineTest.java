package org.springmill.control.cluster;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.EnumSet;
import java.util.Set;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.springmill.control.cluster.Machine.State;

class MachineTest {
    @ParameterizedTest
    @CsvSource({
        "PROVISIONING,  UP LEASE_EXPIRED TERMINATING TERMINATED",
        "UP,            LEASE_EXPIRED TERMINATING TERMINATED",
        "LEASE_EXPIRED, UP TERMINATING TERMINATED",
        "TERMINATING,   TERMINATED",
        "TERMINATED,    ''",
    })
    void onlyLegalTransitionsAreMade(State from, String legalStates) {
        Set<State> expected = EnumSet.noneOf(State.class);
        for (String state : legalStates.isEmpty() ? new String[0] : legalStates.split(" ")) {
            expected.add(State.valueOf(state));
        }

        Set<State> reached = EnumSet.noneOf(State.class);
        for (State next : EnumSet.complementOf(EnumSet.of(from))) {
            Machine machine = new Machine("host-000001", 1, 0);
            machine.transition(from);
            machine.transition(next);
            if (machine.state() == next) {
                reached.add(next);
            }
        }

        assertEquals(expected, reached);
    }
}
