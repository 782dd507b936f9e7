package org.springmill.control.storage;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.springmill.protocol.Json;
import org.springmill.protocol.KeyValueStoreMessages.Condition;
import org.springmill.protocol.MalformedMessageException;
import org.springmill.protocol.PeerMessages;
import org.springmill.protocol.PeerMessages.Cancellation;
import org.springmill.protocol.PeerMessages.CancellationDelta;
import org.springmill.protocol.PeerMessages.CancellationNotice;
import org.springmill.protocol.PeerMessages.JobProgress;
import org.springmill.protocol.PeerMessages.PeerRecord;
import org.springmill.protocol.PeerMessages.PeerStatus;
import org.springmill.protocol.PeerMessages.ProgressUpdate;
import org.springmill.protocol.Settings;
import org.springmill.protocol.SettingsFixtures;
import org.springmill.protocol.TaskId;
import org.springmill.sim.VirtualClock;
import org.springmill.transport.HttpClient;
import org.springmill.transport.HttpClient.Reply;
import org.springmill.transport.HttpClient.Request;

/**
 * Bytes of rounds, completed task sets, image locations and peer records as versions in production
 * write and read them. None of them may change, since a controller of another version may lead
 * before or after one of this version.
 */
class RoundRecordBytesTest {
    private static final Condition LEADERSHIP = new Condition("leader", 7);
    private static final int LARGE_VALUE_BYTES = 8192;
    private static final int SMALL_VALUE_BYTES = 256;
    private static final int FIRST_REVISION = 432;

    private final VirtualClock clock = new VirtualClock();

    /** Bodies of the transactions sent to the key-value store. */
    private final List<String> transactions = new ArrayList<>();

    private int nextRevision = FIRST_REVISION;

    /** The key-value store's response to a read of all rounds. */
    private String storedRounds = "{\"pairs\":[],\"truncated\":false,\"ledgerRev\":431}";

    private RoundLog roundLog(int valueBytes, int writesPerCommit) {
        Settings settings =
                SettingsFixtures.with(
                        new Settings.StoreLimits(1200, 200, valueBytes, writesPerCommit));
        HttpClient keyValueStore =
                new HttpClient() {
                    @Override
                    public void send(Request request, Consumer<Reply> done) {
                        done.accept(answer(request));
                    }
                };
        KeyValueStoreClient store = new KeyValueStoreClient(keyValueStore, clock, settings, 1);
        return new RoundLog(
                store,
                clock,
                LEADERSHIP,
                job -> !job.equals("run-000009"),
                0.2,
                RoundLog.Reserve.NONE);
    }

    private Reply answer(Request request) {
        if (request.method().equals("GET")) {
            return new Reply(200, storedRounds.getBytes(StandardCharsets.UTF_8));
        }
        transactions.add(new String(request.body(), StandardCharsets.UTF_8));
        String answer = "{\"ledgerRev\":" + nextRevision++ + "}";
        return new Reply(200, answer.getBytes(StandardCharsets.UTF_8));
    }

    private void append(RoundLog log, List<Claim> claims, List<RoundLog.ClaimEnd> ends) {
        int[] committed = new int[1];
        log.append(
                claims,
                ends,
                List.of(),
                () -> committed[0]++,
                () -> {
                    throw new AssertionError("unexpected loss of leadership");
                });
        clock.run(10);
        assertEquals(1, committed[0]);
    }

    private static Claim claim(String job, int task, String machine, long round) {
        return Claim.decide(new TaskId(job, task), machine, round);
    }

    @Test
    void aRoundHoldsClaimsEndsAndCompletedTasks() {
        RoundLog log = roundLog(LARGE_VALUE_BYTES, 12);
        Claim completed = claim("run-000412", 3, "host-000231", 1);
        Claim notCompleted = claim("run-000398", 0, "host-000232", 1);
        append(log, List.of(completed, notCompleted), List.of());
        append(
                log,
                List.of(claim("run-000412", 4, "host-000231", 2)),
                List.of(
                        new RoundLog.ClaimEnd(completed, true),
                        new RoundLog.ClaimEnd(notCompleted, false)));
        assertEquals(
                List.of(
                        "{\"when\":[{\"key\":\"leader\",\"stamp\":7},{\"key\":\"round/000000000000001.00\",\"stamp\":0},"
                                + "{\"key\":\"round-log\",\"stamp\":0}],\"writes\":["
                                + "{\"write\":\"round/000000000000001.00\",\"value\":{\"v\":1,\"claims\":["
                                + "[\"run-000412\",3,\"host-000231\",\"tDfKKoWOU297utgnIjTBdw\"],"
                                + "[\"run-000398\",0,\"host-000232\",\"zsIa9HGA89uFGrGKdtXDPw\"]]}},"
                                + "{\"write\":\"round-log\",\"value\":{\"v\":1}}]}",
                        "{\"when\":[{\"key\":\"leader\",\"stamp\":7},{\"key\":\"round/000000000000002.00\",\"stamp\":0},"
                                + "{\"key\":\"round/000000000000001.00\",\"stamp\":432}],\"writes\":["
                                + "{\"write\":\"round/000000000000002.00\",\"value\":{\"v\":1,\"claims\":["
                                + "[\"run-000412\",4,\"host-000231\",\"Mdly9_hf1hXQ8Gxg_utnvg\"]],"
                                + "\"ended\":[\"tDfKKoWOU297utgnIjTBdw\",\"zsIa9HGA89uFGrGKdtXDPw\"],"
                                + "\"done\":[[\"run-000412\",\"3\"]]}}]}"),
                transactions);
    }

    @Test
    void aRoundLargerThanAValueIsSplitIntoParts() {
        RoundLog log = roundLog(SMALL_VALUE_BYTES, 12);
        List<Claim> claims =
                IntStream.range(0, 5)
                        .mapToObj(i -> claim("run-000412", i, "host-000231", 1))
                        .toList();
        append(log, claims, List.of());
        assertEquals(
                List.of(
                        "{\"when\":[{\"key\":\"leader\",\"stamp\":7},{\"key\":\"round/000000000000001.00\",\"stamp\":0},"
                                + "{\"key\":\"round-log\",\"stamp\":0}],\"writes\":["
                                + "{\"write\":\"round/000000000000001.00\",\"value\":{\"v\":1,\"claims\":["
                                + "[\"run-000412\",0,\"host-000231\",\"7O0XWVjZ-cTuq_hsYgohmA\"],"
                                + "[\"run-000412\",1,\"host-000231\",\"MAxZ7gsQtpomaK0iutQdWw\"]]}},"
                                + "{\"write\":\"round/000000000000001.01\",\"value\":{\"v\":1,\"claims\":["
                                + "[\"run-000412\",2,\"host-000231\",\"5pnuKYPEAW46MPRbrQziFg\"],"
                                + "[\"run-000412\",3,\"host-000231\",\"tDfKKoWOU297utgnIjTBdw\"]]}},"
                                + "{\"write\":\"round/000000000000001.02\",\"value\":{\"v\":1,\"claims\":["
                                + "[\"run-000412\",4,\"host-000231\",\"6Cg-X4CJrmw1IyV7gDsuxA\"]]}},"
                                + "{\"write\":\"round-log\",\"value\":{\"v\":1}}]}"),
                transactions);
    }

    @Test
    void anOldClaimIsCarriedForwardWithItsOwnRound() {
        int writesPerCommit = 3;
        RoundLog log = roundLog(LARGE_VALUE_BYTES, writesPerCommit);
        Claim lasting = claim("run-000412", 0, "host-000231", 1);
        Claim ending = claim("run-000412", 1, "host-000232", 1);
        Claim ofEndedJob = claim("run-000009", 0, "host-000233", 1);
        append(log, List.of(lasting, ending, ofEndedJob), List.of());
        append(
                log,
                List.of(),
                List.of(
                        new RoundLog.ClaimEnd(ending, true),
                        new RoundLog.ClaimEnd(ofEndedJob, true)));
        Claim next = claim("run-000412", 2, "host-000232", 3);
        append(log, List.of(next), List.of());
        while (transactions.size() < 2 * writesPerCommit) {
            append(log, List.of(), List.of(new RoundLog.ClaimEnd(next, false)));
        }
        transactions.clear();
        append(log, List.of(claim("run-000412", 5, "host-000232", 7)), List.of());
        append(log, List.of(claim("run-000412", 6, "host-000232", 8)), List.of());
        assertEquals(
                List.of(
                        "{\"when\":[{\"key\":\"leader\",\"stamp\":7},{\"key\":\"round/000000000000007.00\",\"stamp\":0},"
                                + "{\"key\":\"round/000000000000006.00\",\"stamp\":437}],\"writes\":["
                                + "{\"write\":\"round/000000000000007.00\",\"value\":{\"v\":1,\"claims\":["
                                + "[\"run-000412\",5,\"host-000232\",\"0D4V-B0Eo7OBtu4GM0BDZA\"],"
                                + "[\"run-000412\",0,\"host-000231\",\"7O0XWVjZ-cTuq_hsYgohmA\",1]],"
                                + "\"done\":[[\"run-000412\",\"1\"]]}},"
                                + "{\"delete\":\"round/000000000000001.00\"},{\"delete\":\"round/000000000000002.00\"}]}",
                        "{\"when\":[{\"key\":\"leader\",\"stamp\":7},{\"key\":\"round/000000000000008.00\",\"stamp\":0},"
                                + "{\"key\":\"round/000000000000007.00\",\"stamp\":438}],\"writes\":["
                                + "{\"write\":\"round/000000000000008.00\",\"value\":{\"v\":1,\"claims\":["
                                + "[\"run-000412\",6,\"host-000232\",\"hXCUzJQXnl9UKuWRCSDB0A\"]]}}]}"),
                transactions);
    }

    @Test
    void storedRoundsAreReadBack() {
        storedRounds =
                "{\"pairs\":["
                        + "{\"key\":\"round/000000000000001.00\",\"stamp\":9,\"value\":{\"v\":1,"
                        + "\"claims\":[[\"run-000412\",3,\"host-000231\",\"k1\"],"
                        + "[\"run-000398\",0,\"host-000232\",\"k2\"]]}},"
                        + "{\"key\":\"round/000000000000002.00\",\"stamp\":10,\"value\":{\"v\":1}},"
                        + "{\"key\":\"round/000000000000005.00\",\"stamp\":12,\"value\":{\"v\":1,"
                        + "\"claims\":[[\"run-000412\",4,\"host-000231\",\"k3\"],"
                        + "[\"run-000398\",0,\"host-000232\",\"k2\",1]],"
                        + "\"ended\":[\"k1\"],\"done\":[[\"run-000412\",\"0-1,3\"]]}},"
                        + "{\"key\":\"round/000000000000005.01\",\"stamp\":12,\"value\":{\"v\":1,"
                        + "\"done\":[[\"run-000412\",\"@256:BQ\"]]}}"
                        + "],\"truncated\":false,\"ledgerRev\":431}";
        RoundLog log = roundLog(LARGE_VALUE_BYTES, 12);
        List<RoundLog.RecoveredRounds> recovered = new ArrayList<>();
        log.load(recovered::add);
        clock.run(10);
        assertEquals(1, recovered.size());
        assertEquals(
                Set.of(
                        new Claim("k3", new TaskId("run-000412", 4), "host-000231", 5),
                        new Claim("k2", new TaskId("run-000398", 0), "host-000232", 1)),
                Set.copyOf(recovered.get(0).live()));
        assertEquals(Map.of("run-000412", set(0, 1, 3, 256, 258)), recovered.get(0).done());
        assertEquals(6, log.nextNumber());
        assertEquals(4, log.storedValueCount());
    }

    /** A round is conditional on the newest stored value, also on that of an earlier term. */
    @Test
    void theFirstRoundOfATermDependsOnTheNewestStoredValue() {
        storedRounds =
                "{\"pairs\":["
                        + "{\"key\":\"round/000000000000002.00\",\"stamp\":10,\"value\":{\"v\":1}},"
                        + "{\"key\":\"round/000000000000005.00\",\"stamp\":12,\"value\":{\"v\":1}},"
                        + "{\"key\":\"round/000000000000005.01\",\"stamp\":12,\"value\":{\"v\":1}}"
                        + "],\"truncated\":false,\"ledgerRev\":431}";
        RoundLog log = roundLog(LARGE_VALUE_BYTES, 12);
        log.load(recovered -> {});
        clock.run(10);
        append(log, List.of(claim("run-000412", 5, "host-000232", 6)), List.of());
        append(log, List.of(claim("run-000412", 6, "host-000232", 7)), List.of());
        assertEquals(
                List.of(
                        "{\"when\":[{\"key\":\"leader\",\"stamp\":7},{\"key\":\"round/000000000000006.00\",\"stamp\":0},"
                                + "{\"key\":\"round/000000000000005.01\",\"stamp\":12}],\"writes\":["
                                + "{\"write\":\"round/000000000000006.00\",\"value\":{\"v\":1,\"claims\":["
                                + "[\"run-000412\",5,\"host-000232\",\"%s\"]]}}]}"
                                        .formatted(claim("run-000412", 5, "host-000232", 6).key()),
                        "{\"when\":[{\"key\":\"leader\",\"stamp\":7},{\"key\":\"round/000000000000007.00\",\"stamp\":0},"
                                + "{\"key\":\"round/000000000000006.00\",\"stamp\":432}],\"writes\":["
                                + "{\"write\":\"round/000000000000007.00\",\"value\":{\"v\":1,\"claims\":["
                                + "[\"run-000412\",6,\"host-000232\",\"%s\"]]}}]}"
                                        .formatted(claim("run-000412", 6, "host-000232", 7).key())),
                transactions);
    }

    @Test
    void completedTaskSetsAreRangesOrBitmaps() {
        BitSet scattered = new BitSet();
        for (int task = 16_384; task < 16_484; task += 2) {
            scattered.set(task);
        }
        assertEquals(List.of("0-1"), CompletedTasks.encode(set(0, 1), 4096));
        assertEquals(List.of("@16384:VVVVVVVVVVVVVVVVBQ"), CompletedTasks.encode(scattered, 4096));
        assertEquals(List.of("0-511", "512-599"), CompletedTasks.encode(range(0, 600), 100));
        BitSet read = new BitSet();
        CompletedTasks.decode("@16384:BQ", read);
        assertEquals(set(16_384, 16_386), read);
    }

    private static BitSet set(int... tasks) {
        BitSet set = new BitSet();
        IntStream.of(tasks).forEach(set::set);
        return set;
    }

    private static BitSet range(int from, int to) {
        BitSet set = new BitSet();
        set.set(from, to);
        return set;
    }

    @Test
    void imageLocationsListMachinesOnceAndImagesWithTheirSize() throws MalformedMessageException {
        ImageLocations locations = new ImageLocations();
        locations.add("host-000231", "img-07", 6.2);
        locations.add("host-000232", "img-07", 6.2);
        locations.add("host-000232", "img-08", 0.5);
        String stored =
                "{\"v\":1,\"machines\":[\"host-000231\",\"host-000232\"],"
                        + "\"images\":{\"img-07\":[6.2,0,1],\"img-08\":[0.5,1]}}";
        assertEquals(stored, text(Json.bytes(locations.encode(LARGE_VALUE_BYTES))));
        ImageLocations read =
                ImageLocations.decode(Json.object(stored.getBytes(StandardCharsets.UTF_8)));
        assertEquals(Map.of("img-07", 6.2), read.of("host-000231"));
        assertEquals(Map.of("img-07", 6.2, "img-08", 0.5), read.of("host-000232"));
    }

    private static String text(byte[] bytes) {
        return new String(bytes, StandardCharsets.UTF_8);
    }

    @Test
    void statusRecordKeepsItsBytes() throws MalformedMessageException {
        assertPeerRecordBytes(
                new PeerStatus(
                        "n-2",
                        258,
                        7,
                        false,
                        true,
                        true,
                        3,
                        true,
                        -250,
                        99,
                        new CancellationDelta(
                                41,
                                5,
                                true,
                                false,
                                List.of(new Cancellation("run-000001", 41, 1.5)))),
                "0101"
                        + "00036e2d32"
                        + "0000000000000102"
                        + "0000000000000007"
                        + "000101"
                        + "00000003"
                        + "01"
                        + "ffffff06"
                        + "0000000000000063"
                        + "0000000000000029"
                        + "0000000000000005"
                        + "0100"
                        + "0001"
                        + "000a72756e2d303030303031"
                        + "0000000000000029"
                        + "3ff8000000000000");
    }

    @Test
    void cancelledRecordKeepsItsBytes() throws MalformedMessageException {
        assertPeerRecordBytes(
                new CancellationNotice("n-1", List.of(new Cancellation("run-000001", 41, 1.5))),
                "0103"
                        + "00036e2d31"
                        + "0001"
                        + "000a72756e2d303030303031"
                        + "0000000000000029"
                        + "3ff8000000000000");
    }

    @Test
    void progressRecordKeepsItsBytes() throws MalformedMessageException {
        assertPeerRecordBytes(
                new ProgressUpdate("n-1", 5, List.of(new JobProgress("run-000001", 3, 9))),
                "0102"
                        + "00036e2d31"
                        + "0000000000000005"
                        + "0001"
                        + "000a72756e2d303030303031"
                        + "00000003"
                        + "00000009");
    }

    private static void assertPeerRecordBytes(PeerRecord message, String hex)
            throws MalformedMessageException {
        assertEquals(hex, HexFormat.of().formatHex(PeerMessages.encode(message)));
        assertEquals(message, PeerMessages.decode(HexFormat.of().parseHex(hex)));
    }

    @Test
    void aClaimsKeyIsDerivedFromItsDecision() {
        assertEquals("tDfKKoWOU297utgnIjTBdw", claim("run-000412", 3, "host-000231", 1).key());
        assertTrue(claim("run-000412", 3, "host-000231", 2).key().length() == 22);
    }
}
