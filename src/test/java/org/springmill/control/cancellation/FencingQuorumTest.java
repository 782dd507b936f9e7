package org.springmill.control.cancellation;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class FencingQuorumTest {
    /**
     * Guards against the deletion of a zone by a controller that is itself isolated, or beside one
     * that remembers.
     *
     * @param peers the other controllers: missed1 is heard and may have missed cancellations,
     *     knows1 is heard and has not, silent1 is not heard
     * @param expected the silent controllers; none if nothing may be deleted
     */
    @ParameterizedTest
    @CsvSource({
        "missed1 silent1, silent1",
        "missed1 missed2, ''",
        "knows1 silent1, ''",
        "silent1 silent2, ''",
        "missed1 missed2 missed3 silent1, silent1",
        "missed1 missed2 silent1 silent2, silent1 silent2",
        "missed1 missed2 knows1 silent1, ''",
        "missed1 silent1 silent2 silent3, ''",
        "missed1 missed2 missed3 missed4, ''",
        "silent1, ''",
    })
    void onlyAQuorumThatHasForgottenMayFence(String peers, String expected) {
        String silent =
                FencingQuorum.silentControllers(
                                List.of(peers.split(" ")),
                                peer -> peer.startsWith("silent"),
                                peer -> peer.startsWith("missed"))
                        .map(nodes -> String.join(" ", nodes))
                        .orElse("");
        assertEquals(expected, silent);
    }
}
