package org.springmill.control.storage;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.springmill.control.storage.KeyValueStoreClient.CommitOutcome;
import org.springmill.protocol.Json;
import org.springmill.protocol.KeyValueStoreMessages.Write;
import org.springmill.protocol.Settings;
import org.springmill.protocol.SettingsFixtures;
import org.springmill.sim.VirtualClock;
import org.springmill.transport.HttpClient.Reply;

/** The order in which queued transactions are sent, and which are dropped. */
class KeyValueStoreClientQueueTest {
    private static final double WRITES_PER_SECOND = 10;
    private static final double TIMEOUT_SECONDS = 1;

    private final VirtualClock clock = new VirtualClock();
    private final List<String> sent = new ArrayList<>();
    private final List<CommitOutcome> outcomes = new ArrayList<>();
    private final KeyValueStoreClient store =
            new KeyValueStoreClient(
                    (request, done) -> {
                        sent.add(new String(request.body(), StandardCharsets.UTF_8));
                        String committed = "{\"ledgerRev\":9}";
                        done.accept(new Reply(200, committed.getBytes(StandardCharsets.UTF_8)));
                    },
                    clock,
                    SettingsFixtures.with(
                            new Settings.StoreLimits(100, WRITES_PER_SECOND, 8192, 4)),
                    TIMEOUT_SECONDS);

    private static List<Write> write(String key) {
        return List.of(Write.put(key, Json.newObject()));
    }

    private void queueRegularCommits(int count) {
        for (int i = 0; i < count; i++) {
            store.compareAndSwap(List.of(), write("work-" + i), result -> {});
        }
    }

    private void queueAcceptance(String key, double sendBy) {
        store.compareAndSwapAcceptance(
                List.of(), write(key), sendBy, result -> outcomes.add(result.outcome()));
    }

    private int positionOf(String key) {
        for (int i = 0; i < sent.size(); i++) {
            if (sent.get(i).contains(key)) {
                return i;
            }
        }
        return -1;
    }

    /** Submissions at a leader that wrote many rounds used to wait for seconds. */
    @Test
    void acceptancesAlternateWithEarlierTransactions() {
        queueRegularCommits(60);
        int sentBefore = sent.size();
        queueAcceptance("job/run-1", clock.now() + 100);
        queueAcceptance("job/run-2", clock.now() + 100);
        clock.run(1);
        assertTrue(
                positionOf("job/run-1") <= sentBefore + 1, "after at most one other transaction");
        assertTrue(positionOf("job/run-2") <= sentBefore + 3, "alternating with the others");
        clock.run(10);
        assertEquals(62, sent.size(), "all are sent in the end");
    }

    /** By then the client's request has timed out, and the client retries with the same job. */
    @Test
    void acceptancesNotSentInTimeAreDropped() {
        for (int i = 0; i < 40; i++) {
            queueAcceptance("job/run-" + i + "x", clock.now() + 2);
        }
        clock.run(20);
        long unsent =
                outcomes.stream().filter(outcome -> outcome == CommitOutcome.RETRYABLE).count();
        assertEquals(40, outcomes.size(), "each is answered");
        assertEquals(40 - sent.size(), unsent);
        double maxSent = WRITES_PER_SECOND * 3 + 1;
        assertTrue(sent.size() <= maxSent, sent.size() + " sent");
        assertEquals(0, store.backlog());
    }

    @Test
    void theExpectedWaitIncludesQueuedWrites() {
        assertEquals(0, store.expectedWaitSeconds(1));
        queueRegularCommits(40);
        assertEquals(3.1, store.expectedWaitSeconds(1), 0.05);
        clock.run(2);
        assertEquals(1.1, store.expectedWaitSeconds(1), 0.15);
    }
}
