package org.springmill.protocol;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import java.util.Collections;
import java.util.HexFormat;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.springmill.protocol.PeerMessages.Cancellation;
import org.springmill.protocol.PeerMessages.CancellationDelta;
import org.springmill.protocol.PeerMessages.CancellationNotice;
import org.springmill.protocol.PeerMessages.CancelledTaskMachines;
import org.springmill.protocol.PeerMessages.CancelledTaskQuery;
import org.springmill.protocol.PeerMessages.CatchUpRequest;
import org.springmill.protocol.PeerMessages.CatchUpResponse;
import org.springmill.protocol.PeerMessages.JobProgress;
import org.springmill.protocol.PeerMessages.PeerRecord;
import org.springmill.protocol.PeerMessages.PeerStatus;
import org.springmill.protocol.PeerMessages.PendingCancellation;
import org.springmill.protocol.PeerMessages.ProgressUpdate;

class PeerMessagesTest {
    /** A complete status as commit 880f457 encoded it, without the fields added later. */
    private static final String STATUS =
            "0101"
                    + "00036e2d31"
                    + "0000000000000007"
                    + "0000000000000003"
                    + "010001"
                    + "00000003"
                    + "00"
                    + "000000fa"
                    + "0000000000000063";

    /** A list of one cancellation. */
    private static final String CANCELLATIONS =
            "0001" + "000a72756e2d303030343132" + "0000000000000028" + "41d954fc40000000";

    static Stream<PeerRecord> records() {
        return Stream.of(
                new PeerStatus(
                        "n-1",
                        7,
                        0,
                        true,
                        false,
                        true,
                        3,
                        false,
                        250,
                        99,
                        new CancellationDelta(41, 7, false, true, List.of())),
                new PeerStatus(
                        "n-2",
                        0,
                        7,
                        false,
                        true,
                        false,
                        0,
                        true,
                        9,
                        Long.MAX_VALUE,
                        new CancellationDelta(
                                0,
                                Long.MAX_VALUE,
                                true,
                                false,
                                List.of(new Cancellation("run-000001", 41, 1.7e9)))),
                new CancellationNotice("n-1", List.of(new Cancellation("run-000001", 41, 1.7e9))),
                new CancelledTaskQuery("n-1", "run-000001"),
                new CancelledTaskMachines("n-1", "run-000001", false, List.of()),
                new CancelledTaskMachines("n-1", "run-000001", true, List.of("host-1", "host-2")),
                new CatchUpRequest("n-1", false, List.of()),
                new CatchUpRequest("n-1", true, List.of("host-1", "host-2")),
                new CatchUpResponse("n-1", List.of()),
                new CatchUpResponse("n-1", List.of(new PendingCancellation("run-000001", 12.5))),
                new ProgressUpdate("n-1", 5, List.of()),
                new ProgressUpdate("n-1", 5, List.of(new JobProgress("run-000001", 3, 9))));
    }

    @ParameterizedTest
    @MethodSource("records")
    void recordsAreDecodedAsEncodedAndTruncatedOnesAreRefused(PeerRecord message)
            throws MalformedMessageException {
        byte[] bytes = PeerMessages.encode(message);
        assertEquals(message, PeerMessages.decode(bytes));
        assertThrows(
                MalformedMessageException.class,
                () -> PeerMessages.decode(Arrays.copyOf(bytes, bytes.length - 1)));
        byte[] newerVersion = bytes.clone();
        newerVersion[0]++;
        assertThrows(MalformedMessageException.class, () -> PeerMessages.decode(newerVersion));
        byte[] unknownKind = bytes.clone();
        unknownKind[1] = 77;
        assertThrows(MalformedMessageException.class, () -> PeerMessages.decode(unknownKind));
    }

    /**
     * During an upgrade, controllers of both versions exchange records. These bytes are what
     * version 0.1.0 wrote and read.
     */
    @Test
    void aStatusOfTheFirstVersionIsCompatibleBothWays() throws MalformedMessageException {
        byte[] firstVersion =
                HexFormat.of()
                        .parseHex(
                                "0101"
                                        + "00036e2d31"
                                        + "0000000000000007"
                                        + "0000000000000000"
                                        + "010001"
                                        + "00000003"
                                        + "00"
                                        + "000000fa"
                                        + "0000000000000063");
        PeerStatus status =
                new PeerStatus(
                        "n-1", 7, 0, true, false, true, 3, false, 250, 99, CancellationDelta.NONE);
        assertEquals(status, PeerMessages.decode(firstVersion));
        byte[] encoded = PeerMessages.encode(status);
        assertArrayEquals(
                firstVersion, Arrays.copyOf(encoded, firstVersion.length), "new fields come last");
    }

    /**
     * Records as builds of commits 880f457, 025a6a8 and 9f45bfd printed them; 880f457 has no
     * cancellation deltas. This version must decode each and encode the same bytes. A status with a
     * delta begins with the bytes of 880f457, which ignores the rest.
     */
    static Stream<Arguments> bytesOfEarlierVersions() {
        PeerStatus plain =
                new PeerStatus(
                        "n-1", 7, 3, true, false, true, 3, false, 250, 99, CancellationDelta.NONE);
        Cancellation cancellation = new Cancellation("run-000412", 40, 1.7e9);
        PeerStatus withDelta =
                new PeerStatus(
                        "n-1",
                        7,
                        3,
                        true,
                        false,
                        true,
                        3,
                        false,
                        250,
                        99,
                        new CancellationDelta(41, 7, false, true, List.of(cancellation)));
        return Stream.of(
                Arguments.of(plain, STATUS + "ffffffffffffffff000000000000000000000000"),
                Arguments.of(
                        withDelta,
                        STATUS + "0000000000000029" + "0000000000000007" + "0001" + CANCELLATIONS),
                Arguments.of(
                        new CancellationNotice("n-1", List.of(cancellation)),
                        "0103" + "00036e2d31" + CANCELLATIONS),
                Arguments.of(
                        new ProgressUpdate("n-1", 5, List.of(new JobProgress("run-000412", 3, 9))),
                        "0102"
                                + "00036e2d31"
                                + "0000000000000005"
                                + "0001"
                                + "000a72756e2d303030343132"
                                + "00000003"
                                + "00000009"));
    }

    @ParameterizedTest
    @MethodSource("bytesOfEarlierVersions")
    void theBytesOfEveryVersionAreEncodedAndDecodedUnchanged(PeerRecord message, String hex)
            throws MalformedMessageException {
        assertEquals(message, PeerMessages.decode(HexFormat.of().parseHex(hex)));
        assertEquals(hex, HexFormat.of().formatHex(PeerMessages.encode(message)));
        if (message instanceof PeerStatus status) {
            PeerStatus withoutDelta =
                    (PeerStatus) PeerMessages.decode(HexFormat.of().parseHex(STATUS));
            assertEquals(CancellationDelta.NONE, withoutDelta.cancellationDelta());
            assertEquals(status.term(), withoutDelta.term());
            assertTrue(hex.startsWith(STATUS));
        }
    }

    /** Only controllers that archive records write the flag; other statuses keep their bytes. */
    @Test
    void theHistoryFlagIsOneByteAfterTheCancellationDelta() throws MalformedMessageException {
        CancellationDelta delta = new CancellationDelta(41, 7, false, true, List.of());
        PeerStatus without =
                new PeerStatus("n-1", 7, 3, true, false, true, 3, false, 250, 99, delta);
        PeerStatus with =
                new PeerStatus("n-1", 7, 3, true, false, true, 3, false, 250, 99, delta, true, 0);
        String hex = HexFormat.of().formatHex(PeerMessages.encode(without)) + "01";
        assertEquals(hex, HexFormat.of().formatHex(PeerMessages.encode(with)));
        assertEquals(with, PeerMessages.decode(HexFormat.of().parseHex(hex)));
        assertEquals(without, PeerMessages.decode(PeerMessages.encode(without)));
    }

    @Test
    void aRecordIsTruncatedAtItsBound() {
        byte[] longer =
                PeerMessages.encode(
                        new CancellationNotice(
                                "n-1",
                                Collections.nCopies(500, new Cancellation("run-000001", 41, 0))));
        assertTrue(longer.length < 4096);
    }
}
