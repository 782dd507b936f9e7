package org.springmill.control.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.springmill.protocol.Settings;
import org.springmill.sim.SimNetwork.Delivery;
import org.springmill.sim.SimulatedCluster;

/** The limits of the key-value store shrink, with and without a change of the settings. */
class KeyValueStoreLimitsTest {
    private static final Settings.StoreLimits SMALLER_LIMITS =
            new Settings.StoreLimits(120, 15, 2048, 4);
    private final SimulatedCluster cluster = new SimulatedCluster();

    @AfterEach
    void noInvariantIsBroken() {
        assertEquals(List.of(), cluster.violations());
    }

    private static String id(int number) {
        return String.format("run-%06d", number);
    }

    private static ObjectNode job(int number, String shape, int tasks) {
        return SimulatedCluster.job(id(number), "blue", shape, tasks, 0.5, 0.2);
    }

    private void startMachinesAndServices() {
        cluster.machines("large", "a", 4).machines("large", "b", 4).run(6);
        for (int i = 1; i <= 12; i++) {
            assertEquals(201, cluster.submit(i % 3, job(i, "service", 12), 1e9));
        }
        cluster.run(10);
        assertEquals(12, cluster.running(id(12)));
    }

    private long largestRoundBytes() {
        return cluster.keyValueStore().keysUnder("round/").stream()
                .mapToLong(key -> cluster.keyValueStore().value(key).toString().length())
                .max()
                .orElse(0);
    }

    /**
     * A leader with smaller limits takes over rounds that are larger than these limits, and has to
     * rewrite them in several transactions.
     */
    @Test
    void storedLargerRoundsAreSplitWhenCarriedOn() {
        startMachinesAndServices();
        assertTrue(
                largestRoundBytes() > 2048,
                "largest round record: " + largestRoundBytes() + " bytes");
        cluster.setStoreLimits(SMALLER_LIMITS);
        for (int node = 0; node < 3; node++) {
            cluster.restart(node);
            cluster.run(12);
        }
        cluster.keyValueStore().setSizeLimits(2048, 4);
        for (int i = 20; i < 60; i++) {
            assertEquals(201, cluster.submit(i % 3, job(i, "sweep", 20), 1));
            cluster.run(2);
        }
        cluster.run(20);
        assertEquals(0, cluster.keyValueStore().oversizedCommits());
        assertTrue(
                largestRoundBytes() <= 2048,
                "largest round record: " + largestRoundBytes() + " bytes");
        for (int i = 20; i < 60; i++) {
            assertEquals("done", cluster.phase(i % 3, id(i)));
        }
        // No record was lost: the next leader finds every replica and restarts none.
        int leader = cluster.leader();
        cluster.restart(leader);
        cluster.run(20);
        for (int i = 1; i <= 12; i++) {
            assertEquals(12, cluster.running(id(i)));
            for (int task = 0; task < 12; task++) {
                assertEquals(1, cluster.starts(id(i) + "/" + task));
            }
        }
    }

    /**
     * The limits shrink around the first commit of the job's claims.
     *
     * @param fate what happens to one commit of claims
     * @param later 0: to the first one, and the limits shrink just after it is sent; 1: to the
     *     second one, and the limits shrink just before the first arrives
     */
    @ParameterizedTest
    @CsvSource({
        "DELIVER, 0",
        "LOSE_RESPONSE, 0",
        "DROP, 0",
        "HOLD, 0",
        "DELIVER, 1",
        "LOSE_RESPONSE, 1",
        "HOLD, 1"
    })
    void aRefusalForSizeEndsNoTermAndIsNotRepeated(Delivery fate, int later) {
        cluster.machines("large", "a", 4).machines("large", "b", 4).run(6);
        int leader = cluster.leader();
        String term = cluster.keyValueStore().value("leader").toString();
        int[] matches = new int[1];
        cluster.network()
                .setDeliveryRule(
                        (from, request) -> {
                            boolean round =
                                    request.path().equals("/commit")
                                            && new String(request.body(), StandardCharsets.UTF_8)
                                                    .contains("\"claims\":[[\"" + id(1));
                            if (round && matches[0]++ == later) {
                                cluster.clock()
                                        .after(
                                                0.001,
                                                () ->
                                                        cluster.keyValueStore()
                                                                .setSizeLimits(2048, 3));
                                return fate;
                            }
                            if (round && later == 1 && matches[0] == 1) {
                                cluster.keyValueStore().setSizeLimits(2048, 3);
                            }
                            return Delivery.DELIVER;
                        });
        assertEquals(201, cluster.submit(leader, job(1, "service", 90), 1e9));
        cluster.run(10);
        cluster.network().releaseHeld();
        cluster.run(20);
        assertEquals(term, cluster.keyValueStore().value("leader").toString());
        assertTrue(
                cluster.keyValueStore().oversizedCommits() < 8,
                "oversized commits: " + cluster.keyValueStore().oversizedCommits());
        cluster.restart(leader);
        cluster.run(20);
        assertEquals(90, cluster.running(id(1)));
        for (int task = 0; task < 90; task++) {
            assertEquals(1, cluster.starts(id(1) + "/" + task));
        }
    }

    /**
     * The limits shrink without a change of the settings, at one of these moments: the leader sends
     * the first transaction that replaces old rounds, the next leader reads them, or the next
     * leader writes its first round.
     */
    @ParameterizedTest
    @CsvSource({
        "compaction, DELIVER",
        "compaction, LOSE_RESPONSE",
        "compaction, DROP",
        "compaction, HOLD",
        "takeover, DELIVER",
        "firstRound, DELIVER",
        "firstRound, LOSE_RESPONSE"
    })
    void jobsRunOnceWhenLimitsShrink(String moment, Delivery fate) {
        startMachinesAndServices();
        int[] matches = new int[1];
        cluster.network()
                .setDeliveryRule(
                        (from, request) -> {
                            String body = new String(request.body(), StandardCharsets.UTF_8);
                            boolean hit =
                                    switch (moment) {
                                        case "compaction" -> body.contains("\"delete\":\"round/");
                                        case "takeover" ->
                                                request.path().startsWith("/store?under=round/");
                                        default -> body.contains("\"write\":\"round/");
                                    };
                            if (hit && matches[0]++ == 0) {
                                cluster.clock()
                                        .after(
                                                0.001,
                                                () ->
                                                        cluster.keyValueStore()
                                                                .setSizeLimits(2048, 4));
                                return fate;
                            }
                            return Delivery.DELIVER;
                        });
        if (!moment.equals("compaction")) {
            cluster.restart(cluster.leader());
        }
        for (int i = 20; i < 60; i++) {
            assertEquals(201, cluster.submit(i % 3, job(i, "sweep", 20), 1));
            cluster.run(2);
        }
        cluster.run(20);
        assertTrue(matches[0] > 0, "the limits never shrank during: " + moment);
        cluster.network().releaseHeld();
        cluster.run(5);
        for (int i = 20; i < 60; i++) {
            assertEquals("done", cluster.phase(i % 3, id(i)));
        }
        assertTrue(
                cluster.keyValueStore().oversizedCommits() < 12,
                "oversized commits: " + cluster.keyValueStore().oversizedCommits());
        cluster.restart(cluster.leader());
        cluster.run(20);
        for (int i = 1; i <= 12; i++) {
            assertEquals(12, cluster.running(id(i)));
            for (int task = 0; task < 12; task++) {
                assertEquals(1, cluster.starts(id(i) + "/" + task));
            }
        }
    }

    /**
     * The limits shrink while the leader writes the cancellations of a job's dependents, many in
     * each transaction; in one case the leader also changes. All controllers still have to report
     * every job as cancelled.
     */
    @ParameterizedTest
    @CsvSource({"false", "true"})
    void limitsShrinkWhileManyCancellationsAreWritten(boolean leaderChanges) {
        cluster.machines("large", "a", 2).run(6);
        assertEquals(201, cluster.submit(0, job(1, "sweep", 2), 1e9));
        for (int i = 2; i <= 40; i++) {
            ObjectNode dependent = job(i, "sweep", 1);
            dependent.putArray("waitsOn").add(id(i % 4 == 0 ? 1 : i - 1));
            assertEquals(201, cluster.submit(i % 3, dependent, 1));
        }
        assertEquals("cancelled", cluster.cancel(1, id(1)));
        cluster.run(4);
        cluster.keyValueStore().setSizeLimits(2048, 4);
        if (leaderChanges) {
            cluster.restart(cluster.leader());
        }
        for (int i = 1; i <= 40; i++) {
            assertEquals("cancelled", cluster.phase(i % 3, id(i)));
        }
        cluster.run(60);
        assertEquals(0, cluster.running(id(1)));
        for (int node = 0; node < 3; node++) {
            cluster.restart(node);
        }
        cluster.run(5);
        for (int i = 1; i <= 40; i++) {
            assertEquals("cancelled", cluster.phase(i % 3, id(i)));
        }
        assertTrue(
                cluster.keyValueStore().oversizedCommits() < 8,
                "oversized commits: " + cluster.keyValueStore().oversizedCommits());
    }

    /**
     * The key-value store rejects the job's record as too large. The submission has to be refused
     * for good, rather than with a status after which the user retries forever.
     */
    @Test
    void aRecordThatIsFoundTooLargeIsRefused() {
        cluster.machines("large", "a", 2).run(6);
        cluster.keyValueStore().setSizeLimits(1024, 4);
        ObjectNode job = job(1, "sweep", 1);
        for (int i = 0; i < 150; i++) {
            job.withArray("frames").add("type-" + i);
        }
        job.withArray("frames").add("large");
        assertEquals(422, cluster.submit(0, job, 1));
        assertEquals(201, cluster.submit(0, job(2, "sweep", 1), 1));
        cluster.run(15);
        assertEquals("done", cluster.phase(1, id(2)));
    }
}
