package org.springmill.control.borrowing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.springmill.protocol.Resources;
import org.springmill.protocol.TaskId;
import org.springmill.sim.UnconnectedStores;

/** Checks the stored form of recalls and the number of records that they take. */
class RecallLogTest {
    private final RecallLog log = new RecallLog(UnconnectedStores.unconnected());

    private static Recall recall(long round, int ordinal, int victims) {
        List<TaskId> tasks =
                IntStream.range(0, victims).mapToObj(i -> new TaskId("run-000412", i)).toList();
        return Recall.decide(
                round,
                ordinal,
                "host-000007",
                "run-000398",
                new Resources(1, 8, 16),
                tasks,
                1000.5);
    }

    @Test
    void recallIsReadBackAsItWasWritten() {
        Recall recall = recall(17, 0, 5);
        JsonNode stored = RecallCodec.encode(List.of(recall));
        assertEquals(List.of(recall), RecallCodec.decode(stored));
    }

    /** Fixes the stored form, since later versions have to read what this version has written. */
    @Test
    void storedFormIsTheDocumentedOne() {
        assertEquals(
                "{\"v\":1,\"recalls\":[[\""
                        + recall(17, 0, 3).key()
                        + "\",17,\"host-000007\","
                        + "\"run-000398\",1.0,8.0,16.0,1000.5,[\"run-000412\",\"0-2\"]]]}",
                RecallCodec.encode(List.of(recall(17, 0, 3))).toString());
        assertEquals("recall/000000000000017", RecallCodec.key(17));
    }

    @Test
    void keyIsDerivedFromTheDecisionAlone() {
        assertEquals(recall(17, 0, 3).key(), recall(17, 0, 5).key());
        assertFalse(recall(17, 0, 3).key().equals(recall(17, 1, 3).key()));
        assertFalse(recall(17, 0, 3).key().equals(recall(18, 0, 3).key()));
    }

    @Test
    void settledRecallsAreRemovedAndEmptyRecordsDeleted() {
        Recall first = recall(17, 0, 1);
        Recall second = recall(17, 1, 1);
        assertEquals(1, log.stage(17, List.of(first, second), Set.of()).size());
        log.committed();
        assertEquals(1, log.stage(18, List.of(), Set.of(first.key())).size());
        log.committed();
        assertEquals(List.of(second), List.copyOf(log.all()));
        assertTrue(log.stage(19, List.of(), Set.of(second.key())).get(0).toString().contains("17"));
        log.committed();
        assertEquals(0, log.all().size());
        assertEquals(List.of(), log.stage(20, List.of(), Set.of()));
    }

    /** Changes that are staged for a round take effect only when it is committed. */
    @Test
    void stagedChangesCountOnlyOnceCommitted() {
        log.stage(17, List.of(recall(17, 0, 1)), Set.of());
        assertEquals(0, log.all().size());
    }

    @Test
    void laterRecordsTakeOverEarlierOnesThatFit() {
        for (int round = 1; round <= 20; round++) {
            assertTrue(log.fits(List.of(), recall(round, 0, 1)));
            int writes = log.stage(round, List.of(recall(round, 0, 1)), Set.of()).size();
            assertTrue(writes <= 2, writes + " writes");
            log.committed();
        }
        assertEquals(20, log.all().size());
    }

    /** Many recalls fit, but their number and size are bounded. */
    @Test
    void recordsAreBounded() {
        int round = 1;
        while (round < 10_000 && log.fits(List.of(), recall(round, 0, 40))) {
            log.stage(round, List.of(recall(round, 0, 40)), Set.of());
            log.committed();
            round++;
        }
        assertTrue(round > 100 && round < 1000, round + " recalls");
        Recall large = recall(round, 0, 1);
        List<TaskId> many = new ArrayList<>();
        IntStream.range(0, 2000).forEach(i -> many.add(new TaskId("run-" + (100000 + i), 0)));
        Recall tooLarge =
                Recall.decide(round, 0, "host-000007", "run-000398", large.amount(), many, 1000.5);
        assertFalse(new RecallLog(UnconnectedStores.unconnected()).fits(List.of(), tooLarge));
    }
}
