package org.springmill.protocol;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.Arrays;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.springmill.protocol.PeerMessages.JobProgress;
import org.springmill.protocol.PeerMessages.PeerRecord;
import org.springmill.protocol.PeerMessages.Progress;
import org.springmill.protocol.PeerMessages.Status;

class PeerMessagesTest {
    static Stream<PeerRecord> records() {
        return Stream.of(new Status("n-1", 7, 0, true, false, true, 3, false, 250, 99),
                new Status("n-2", 0, 7, false, true, false, 0, true, 9, Long.MAX_VALUE),
                new Progress("n-1", 5, List.of()),
                new Progress("n-1", 5, List.of(new JobProgress("run-000001", 3, 9))));
    }

    @ParameterizedTest
    @MethodSource("records")
    void recordsSurviveAndBrokenOnesAreRefused(PeerRecord message) throws BadMessageException {
        byte[] bytes = PeerMessages.encode(message);
        assertEquals(message, PeerMessages.decode(bytes));
        assertThrows(BadMessageException.class, () -> PeerMessages.decode(Arrays.copyOf(bytes, bytes.length - 1)));
        byte[] newer = bytes.clone();
        newer[0]++;
        assertThrows(BadMessageException.class, () -> PeerMessages.decode(newer));
        byte[] strange = bytes.clone();
        strange[1] = 77;
        assertThrows(BadMessageException.class, () -> PeerMessages.decode(strange));
    }
}
