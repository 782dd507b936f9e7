package org.springmill.control.coordination;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.springmill.sim.SimNetwork.Fate;
import org.springmill.sim.SimWorker;
import org.springmill.sim.SimulatedCluster;
import org.springmill.transport.HttpClient.Request;

/**
 * Two troubles at once; docs/meetings.md lists them. All invariants are watched throughout, and
 * after each meeting work has to go on: every job that is not over runs, and its user gets answers.
 */
class CompoundFailureTest {
    private static final String JOB = "run-000001";
    private static final String OTHER = "run-000002";
    private static final double FOREVER = Double.POSITIVE_INFINITY;

    /** Longer than a job may wait beside room that fits. */
    private static final double AFTERWARDS_S = 110;

    private SimulatedCluster cluster;

    private void begin(long seed) {
        cluster =
                new SimulatedCluster(seed)
                        .machines("large", "a", 2)
                        .machines("large", "b", 2)
                        .run(6)
                        .polled();
        assertNotEquals(-1, cluster.leader());
    }

    @AfterEach
    void noRuleIsBrokenAndWorkGoesOn() {
        cluster.calm().run(AFTERWARDS_S);
        assertEquals(List.of(), cluster.broken());
        assertEquals(List.of(), cluster.startsAfterCancel());
        assertEquals(List.of(), cluster.unserved());
    }

    private int follower() {
        return (cluster.leader() + 1) % 3;
    }

    private List<SimWorker> machines() {
        return List.copyOf(cluster.cloud().machines().values());
    }

    private static String text(Request request) {
        return new String(request.body(), StandardCharsets.UTF_8);
    }

    private void accept(ObjectNode job, double runS) {
        assertEquals(201, cluster.submit(follower(), job, runS));
    }

    private void acceptService(String id, String team, int tasks, double gpus) {
        accept(SimulatedCluster.job(id, team, "service", tasks, 1, gpus), FOREVER);
    }

    /** Jobs that come, end and are cancelled by the dozen, wherever somebody takes them. */
    private void churn(double forS, SplittableRandom random) {
        for (int i = 0; i < forS / 2; i++) {
            String id = String.format("run-%06d", 1000 + random.nextInt(100_000));
            int node = random.nextInt(3);
            if (cluster.submit(
                                    node,
                                    SimulatedCluster.job(
                                            id, "blue", "sweep", 1 + random.nextInt(3), 1, 1),
                                    1 + random.nextInt(20))
                            == 201
                    && random.nextInt(4) == 0) {
                cluster.run(random.nextDouble() * 3);
                cluster.withdraw((node + 1) % 3, id);
            }
            cluster.run(0.5 + random.nextDouble() * 2);
        }
    }

    /**
     * The first copy of a round's transaction arrives when the second has been applied and
     * compacted away again.
     */
    @Test
    void aTransactionAppliedAfterItsRoundWasCompactedRaisesNothingFromTheDead() {
        begin(1);
        int leader = cluster.leader();
        boolean[] once = new boolean[1];
        String[] key = new String[1];
        cluster.network()
                .judge(
                        (from, request) -> {
                            if (request.path().equals("/commit")
                                    && text(request).contains(JOB + "\",0")
                                    && !once[0]) {
                                once[0] = true;
                                key[0] = text(request).replaceAll("(?s).*?(round/[0-9.]+).*", "$1");
                                return Fate.HOLD;
                            }
                            return Fate.DELIVER;
                        });
        acceptService(JOB, "blue", 1, 1);
        cluster.run(5);
        assertEquals(1, cluster.running(JOB));
        SimWorker first = cluster.holder(JOB + "/0");
        first.notice(600);
        cluster.run(5);
        assertNotEquals(first, cluster.holder(JOB + "/0"));
        for (int i = 0;
                i < 80
                        && cluster.state().value(key[0]) != null
                        && !cluster.state().value(key[0]).path("claims").isEmpty();
                i++) {
            accept(SimulatedCluster.job("run-0005" + (10 + i), "blue", "sweep", 4, 1, 1), 1);
            cluster.run(3);
        }
        assertEquals(leader, cluster.leader(), "the same term");
        cluster.network().releaseHeld();
        cluster.kill(leader);
        cluster.run(20);
        assertEquals(2, cluster.starts(JOB + "/0"));
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6})
    void transactionsAreCarriedOutLate(long seed) {
        begin(seed);
        acceptService(JOB, "red", 4, 1);
        cluster.state().lateWrites(0.3);
        churn(60, new SplittableRandom(seed));
        cluster.restart(cluster.leader() < 0 ? 0 : cluster.leader());
        churn(30, new SplittableRandom(seed + 100));
    }

    /**
     * What nobody renews any more may still be carried out within its lease, for a process that has
     * gone on.
     */
    @ParameterizedTest
    @ValueSource(doubles = {1.2, 1.6, 2, 2.4, 2.7, 4})
    void aCampaignsWriteIsCarriedOutLate(double afterS) {
        begin(1);
        acceptService(JOB, "red", 4, 1);
        cluster.run(5);
        boolean[] hold = {true};
        cluster.network()
                .judge(
                        (from, request) ->
                                hold[0]
                                                && request.path().equals("/commit")
                                                && text(request).contains("incarnation")
                                        ? Fate.HOLD
                                        : Fate.DELIVER);
        int old = cluster.leader();
        cluster.kill(old);
        for (int i = 0; i < 200 && !cluster.network().holdsAny(); i++) {
            cluster.run(0.05);
        }
        cluster.run(afterS - 0.3);
        hold[0] = false;
        cluster.run(0.3);
        cluster.network().releaseHeld();
        cluster.run(10);
        assertNotEquals(-1, cluster.leader());
        cluster.kill(cluster.leader());
        cluster.restart(old);
        cluster.run(10);
        assertEquals(1, cluster.starts(JOB + "/0"));
        accept(SimulatedCluster.job(OTHER, "red", "sweep", 2, 1, 1), 2);
    }

    /**
     * Old reports come after newer ones, also from an earlier session or attempt, to old and new
     * leaders.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void oldReportsArriveAfterNewerOnes(long seed) {
        begin(seed);
        SplittableRandom random = new SplittableRandom(seed);
        acceptService(JOB, "red", 6, 1);
        cluster.network().lateReports(0.6);
        for (int i = 0; i < 3; i++) {
            churn(15, random);
            SimWorker hung = machines().get(random.nextInt(machines().size()));
            hung.hang(true);
            cluster.run(3 + random.nextInt(20));
            cluster.restart(Math.max(0, cluster.leader()));
            hung.hang(false);
            churn(10, random);
        }
    }

    /** A report is held back until a new leader has acted without it, and then arrives there. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void aReportArrivesWhenTheNextLeaderHasActed(boolean machineLives) {
        begin(1);
        acceptService(JOB, "red", 4, 1);
        cluster.run(6);
        int old = cluster.leader();
        SimWorker victim = cluster.holder(JOB + "/0");
        int next = (old + 1) % 3;
        cluster.kill((old + 2) % 3);
        cluster.network()
                .judge(
                        (from, request) ->
                                from.equals(victim.name())
                                                || request.address().equals(victim.address())
                                        ? request.address().startsWith("10.0.0." + next)
                                                ? Fate.HOLD
                                                : Fate.DROP
                                        : Fate.DELIVER);
        cluster.run(1);
        cluster.kill(old);
        cluster.run(12);
        assertEquals(next, cluster.leader());
        cluster.restart(old);
        cluster.restart((old + 2) % 3);
        cluster.run(machineLives ? 1 : 30);
        if (!machineLives) {
            cluster.cloud().take(victim);
        }
        cluster.network().judge((from, request) -> Fate.DELIVER);
        cluster.network().releaseHeld();
        accept(SimulatedCluster.job(OTHER, "red", "sweep", 3, 1, 2), 2);
    }

    @ParameterizedTest
    @CsvSource({"calm, 0", "outage, 0", "outage, 0.2", "reports, 0.2", "away, 0"})
    void leadersChangeTenTimesInTwoMinutes(String meanwhile, double late) {
        begin(3);
        acceptService(JOB, "red", 6, 1);
        accept(SimulatedCluster.job(OTHER, "blue", "sweep", 3, 1, 1), 5);
        cluster.runsFor(OTHER + "/1", 50);
        cluster.runsFor(OTHER + "/2", 100);
        cluster.state().lateWrites(late);
        cluster.network().lateReports(meanwhile.equals("reports") ? 0.5 : 0);
        for (int i = 0; i < 10; i++) {
            cluster.state().setDown(meanwhile.equals("outage") && i >= 3 && i < 6);
            int leader = Math.max(0, cluster.leader());
            cluster.kill(leader);
            cluster.run(meanwhile.equals("away") ? 11 : 1);
            cluster.restart(leader);
            cluster.run(meanwhile.equals("away") ? 1 : 5);
            cluster.submit(
                    i % 3, SimulatedCluster.job("run-00070" + i, "blue", "sweep", 1, 1, 1), 3);
            cluster.run(5);
            if (i % 3 == 0) {
                cluster.withdraw((i + 1) % 3, "run-00070" + i);
            }
        }
        cluster.calm().run(60);
        assertEquals("done", cluster.phase(0, OTHER));
        for (int i = 0; i < 3; i++) {
            assertEquals(1, cluster.starts(OTHER + "/" + i), "task " + i);
        }
    }

    /**
     * More work than room, small and large, over slow links: the largest have to begin, too, within
     * four minutes.
     */
    @ParameterizedTest
    @CsvSource({"normal, sweep", "best_effort, sweep", "urgent, sweep", "normal, service"})
    void theLargestBeginThoughThereIsMoreWorkThanRoom(String urgency, String shape) {
        begin(1);
        cluster.cloud().runOut();
        cluster.fetchesTake(6);
        int n = 0;
        for (; n < 20; n++) {
            cluster.submit(
                    n % 3,
                    SimulatedCluster.job("run-00" + (2000 + n), "blue", "sweep", 6, 1, 1)
                            .put("urgency", urgency),
                    15 + n % 7);
        }
        accept(
                SimulatedCluster.job(JOB, "blue", shape, 1, 16, 8).put("urgency", urgency),
                shape.equals("sweep") ? 20 : FOREVER);
        for (int i = 0; i < 48 && cluster.starts(JOB + "/0") == 0; i++) {
            cluster.submit(
                    n % 3,
                    SimulatedCluster.job("run-00" + (2000 + n++), "blue", "sweep", 7, 1, 1)
                            .put("urgency", urgency),
                    15 + n % 7);
            cluster.run(5);
        }
        assertEquals(1, cluster.starts(JOB + "/0"));
        cluster.cloud().refill();
        cluster.run(150);
    }

    /**
     * A controller that only workers and users still reach, while jobs are cancelled through
     * another one.
     */
    @ParameterizedTest
    @CsvSource({"30, 0", "60, 0", "110, 0", "60, 12"})
    void aLeaderIsCutOffFromTheStateServiceAndFromTheOthers(double forS, double hangS) {
        begin(2);
        acceptService(JOB, "red", 4, 1);
        acceptService(OTHER, "blue", 4, 1);
        for (int i = 0; i < 9; i++) {
            acceptService("run-00010" + i, "blue", 1, 1);
        }
        cluster.run(12);
        int cut = cluster.leader();
        cluster.isolate(cut);
        cluster.run(1);
        SimWorker hung = cluster.holder(JOB + "/0");
        hung.hang(hangS > 0);
        for (int i = 0; i < 20 && !"cancelled".equals(cluster.withdraw((cut + 1) % 3, JOB)); i++) {
            cluster.run(0.5);
        }
        cluster.run(hangS);
        hung.hang(false);
        for (int i = 0; i < forS / 5; i++) {
            cluster.submit(
                    (cut + i) % 3,
                    SimulatedCluster.job("run-00080" + i, "blue", "sweep", 1, 1, 1),
                    3);
            cluster.withdraw(cut, "run-00080" + i);
            cluster.run(4);
        }
        assertEquals(0, cluster.running(JOB));
    }

    /** Commands, or their answers, are held up for seconds and the machine goes on. */
    @ParameterizedTest
    @CsvSource({"1, true", "2, true", "3, true", "1, false", "2, false"})
    void commandsOrTheirAnswersAreHeldUp(long seed, boolean commands) {
        begin(seed);
        SplittableRandom random = new SplittableRandom(seed);
        acceptService(JOB, "red", 4, 1);
        if (commands) {
            cluster.network()
                    .delayRequests(
                            (from, request) ->
                                    request.path().equals("/orders") && random.nextInt(3) == 0
                                            ? random.nextDouble() * 9
                                            : 0);
        } else {
            cluster.network()
                    .delayAnswers(
                            (from, request) ->
                                    (request.path().equals("/orders") && random.nextInt(3) == 0)
                                                    || (from.startsWith("host")
                                                            && random.nextInt(5) == 0)
                                            ? random.nextDouble() * 9
                                            : 0);
        }
        churn(40, random);
        cluster.restart(Math.max(0, cluster.leader()));
        churn(20, random);
    }

    /** Waiting work is rented for in that very zone. */
    @ParameterizedTest
    @CsvSource({
        "service, true, false, taken",
        "sweep, true, false, taken",
        "service, false, true, taken",
        "sweep, false, true, taken",
        "service, true, false, hung",
        "service, false, true, hung"
    })
    void jobsBoundToOneZoneLoseItsMachines(
            String shape, boolean zoneNamed, boolean samePlace, String how) {
        begin(1);
        ObjectNode job =
                SimulatedCluster.job(JOB, "blue", shape, 4, 1, 8).put("samePlace", samePlace);
        if (zoneNamed) {
            job.put("yard", "b");
        }
        accept(job, shape.equals("sweep") ? 60 : FOREVER);
        cluster.run(70);
        assertEquals(List.of(), cluster.unserved());
        String zone = cluster.holder(JOB + "/0") == null ? "b" : cluster.holder(JOB + "/0").zone();
        acceptService(OTHER, "red", 2, 4);
        for (SimWorker machine : machines()) {
            if (machine.zone().equals(zone)) {
                if (how.equals("taken")) {
                    cluster.cloud().take(machine);
                } else {
                    machine.hang(true);
                }
            }
        }
        cluster.run(90);
        assertEquals(List.of(), cluster.unserved());
    }

    /**
     * A machine on which the job failed is no room for it, though nobody else has complained of it
     * yet.
     */
    @Test
    void theOnlyRoomInAZoneIsOnAFaultyMachine() {
        begin(1);
        accept(SimulatedCluster.job(OTHER, "blue", "service", 1, 1, 8).put("yard", "b"), FOREVER);
        cluster.run(5);
        SimWorker sound = cluster.holder(OTHER + "/0");
        machines().stream()
                .filter(m -> m != sound && m.zone().equals("b"))
                .forEach(SimWorker::failEverything);
        accept(SimulatedCluster.job(JOB, "blue", "sweep", 1, 1, 8).put("yard", "b"), 30);
        cluster.run(90);
        assertEquals("done", cluster.phase(0, JOB));
    }

    private static final String[] FIELDS = {
        "nameId",
        "grist",
        "crew",
        "shape",
        "urgency",
        "sacks",
        "vcpus",
        "cards",
        "memGb",
        "mould",
        "pullGb",
        "samePlace",
        "apart",
        "loaner",
        "expectS",
        "stashEveryS",
        "stashS"
    };

    /**
     * Bad input is answered at once and finally, at any controller and time; what can't run is
     * never accepted.
     */
    @Test
    void whatLacksAFieldOrCanNeverRunIsNeverAccepted() {
        begin(1);
        for (int i = 0; i < FIELDS.length; i++) {
            for (String as : new String[] {"absent", "null", "list"}) {
                ObjectNode job = SimulatedCluster.job(JOB, "red", "service", 2, 1, 1);
                switch (as) {
                    case "absent" -> job.remove(FIELDS[i]);
                    case "null" -> job.putNull(FIELDS[i]);
                    default -> job.putArray(FIELDS[i]).add(1);
                }
                assertEquals(400, cluster.submit(i % 3, job, 1), FIELDS[i] + " " + as);
            }
        }
        ObjectNode wide = SimulatedCluster.job(JOB, "red", "sweep", 1, 1, 1);
        for (int i = 0; i < 900; i++) {
            wide.withArray("frames").add("large").add("another type of machine " + i);
        }
        assertEquals(422, cluster.submit(0, wide, 1), "more than a record holds");
        for (int node = 0; node < 3; node++) {
            for (ObjectNode job : impossible()) {
                assertEquals(422, cluster.submit(node, job, 1), job.toString());
            }
            assertEquals(404, cluster.ask(node, "GET", "/submissions/" + JOB, "").status());
            assertEquals(
                    404,
                    cluster.ask(node, "POST", "/submissions/" + JOB + "/withdraw", "").status());
            for (String body :
                    new String[] {
                        "", "[]", "{", "{} {}", "{\"a\":".repeat(5000), "\"run-000001\""
                    }) {
                assertEquals(400, cluster.ask(node, "POST", "/submissions", body).status());
            }
        }
    }

    private static List<ObjectNode> impossible() {
        ObjectNode noZone = SimulatedCluster.job(JOB, "red", "sweep", 1, 1, 1).put("yard", "c");
        ObjectNode noType = SimulatedCluster.job(JOB, "red", "sweep", 1, 1, 1);
        noType.putArray("frames");
        ObjectNode otherType = SimulatedCluster.job(JOB, "red", "sweep", 1, 8, 0);
        otherType.putArray("frames").add("small").add("huge");
        return List.of(
                noZone,
                noType,
                otherType,
                SimulatedCluster.job(JOB, "green", "sweep", 1, 1, 1),
                SimulatedCluster.job(JOB, "red", "sweep", 1, 33, 0),
                SimulatedCluster.job(JOB, "red", "sweep", 1, 1, 9),
                SimulatedCluster.job(JOB, "red", "sweep", 1, 1, 1).put("memGb", 257),
                SimulatedCluster.job(JOB, "red", "service", 17, 1, 1),
                SimulatedCluster.job(JOB, "blue", "service", 65, 1, 1));
    }

    /**
     * Right after a start, when the machine types are not known yet, nothing is accepted or refused
     * too early.
     */
    @Test
    void nothingIsAcceptedBeforeTheMachineTypesAreKnown() {
        begin(1);
        accept(SimulatedCluster.job(OTHER, "red", "sweep", 1, 1, 1), 300);
        cluster.run(2);
        cluster.network()
                .judge(
                        (from, request) ->
                                request.address().equals("cloud:1") ? Fate.REFUSE : Fate.DELIVER);
        for (int i = 0; i < 3; i++) {
            cluster.restart(i);
        }
        cluster.run(4);
        for (int node = 0; node < 3; node++) {
            assertEquals(503, cluster.ask(node, "GET", "/ready", "").status());
            assertEquals(
                    503,
                    cluster.submit(node, SimulatedCluster.job(JOB, "red", "sweep", 1, 1, 1), 1));
            assertEquals(
                    200,
                    cluster.submit(node, SimulatedCluster.job(OTHER, "red", "sweep", 1, 1, 1), 300),
                    "known already");
            ObjectNode job = SimulatedCluster.job(JOB, "red", "sweep", 1, 1, 1);
            job.remove("loaner");
            assertEquals(400, cluster.submit(node, job, 1));
            for (ObjectNode never : impossible()) {
                int status = cluster.submit(node, never, 1);
                assertTrue(status == 503 || status == 422, status + " for " + never);
            }
        }
        cluster.calm().run(6);
        for (ObjectNode never : impossible()) {
            assertEquals(422, cluster.submit(0, never, 1));
        }
        assertEquals(201, cluster.submit(1, SimulatedCluster.job(JOB, "red", "sweep", 1, 1, 1), 1));
    }

    /**
     * Users repeat submissions, cancel what is done and ask for what they never sent, while leaders
     * change.
     */
    @Test
    void oddRequestsMeetAChangeOfLeader() {
        begin(1);
        ObjectNode done = SimulatedCluster.job(JOB, "red", "sweep", 1, 1, 1);
        accept(done, 2);
        ObjectNode runs = SimulatedCluster.job(OTHER, "red", "service", 2, 1, 1);
        accept(runs, FOREVER);
        cluster.run(8);
        for (int i = 0; i < 6; i++) {
            cluster.restart(Math.max(0, cluster.leader()));
            for (int node = 0; node < 3; node++) {
                cluster.submit(node, done, 2);
                cluster.submit(node, runs, FOREVER);
                cluster.withdraw(node, JOB);
                cluster.phase(node, "run-999999");
                cluster.withdraw(node, "run-999999");
            }
            cluster.run(2);
        }
        cluster.run(10);
        for (int node = 0; node < 3; node++) {
            assertEquals("done", cluster.withdraw(node, JOB));
            assertEquals(200, cluster.submit(node, runs, FOREVER));
        }
    }

    /** Controllers hand over and back, all end, and one returns, within a second or so. */
    @ParameterizedTest
    @CsvSource({
        "0.05, false",
        "0.3, false",
        "0.9, false",
        "2.5, false",
        "0.05, true",
        "0.3, true",
        "0.9, true"
    })
    void controllersHandOverAndBack(double withinS, boolean wordsOnTheWay) {
        begin(4);
        acceptService(JOB, "red", 4, 1);
        cluster.run(5);
        for (int round = 0; round < 4; round++) {
            int leader = Math.max(0, cluster.leader());
            if (wordsOnTheWay) {
                cluster.holdRecords();
            }
            cluster.run(0.2);
            cluster.kill(leader);
            cluster.run(withinS);
            cluster.restart(leader);
            cluster.run(withinS / 2);
            cluster.releaseRecords();
            cluster.run(withinS);
            cluster.restart(Math.max(0, cluster.leader()));
            cluster.run(withinS);
            for (int i = 0; i < 3; i++) {
                cluster.kill((leader + i) % 3);
                cluster.run(withinS / 3);
            }
            cluster.restart((leader + round) % 3);
            cluster.run(withinS * 2);
            cluster.submit(
                    (leader + round) % 3,
                    SimulatedCluster.job("run-00090" + round, "blue", "sweep", 1, 1, 1),
                    2);
            for (int i = 0; i < 3; i++) {
                if (i != (leader + round) % 3) {
                    cluster.restart(i);
                }
            }
            cluster.run(5);
            cluster.withdraw(round % 3, "run-00090" + round);
        }
        cluster.run(5);
        for (int i = 0; i < 4; i++) {
            assertEquals(1, cluster.starts(JOB + "/" + i), "task " + i);
        }
    }

    /**
     * One returns from its end in an outage, with words of its earlier life on the way that say
     * nothing of now.
     */
    @ParameterizedTest
    @ValueSource(doubles = {0.4, 1, 2, 5})
    void aControllerReturnsAmongWordsOfItsEarlierLife(double heldForS) {
        begin(5);
        acceptService(JOB, "red", 4, 1);
        cluster.run(5);
        int leader = cluster.leader();
        cluster.state().setDown(true);
        cluster.run(3);
        cluster.holdRecords();
        cluster.run(0.6);
        cluster.kill(leader);
        cluster.run(heldForS);
        cluster.restart(leader);
        cluster.run(0.5);
        cluster.state().setDown(false);
        cluster.run(1);
        cluster.releaseRecords();
        cluster.run(0.5);
        cluster.state().refuse(leader, true);
        assertTrue(
                cluster.withdraw((leader + 1) % 3, JOB).equals("cancelled")
                        || cluster.leader() < 0);
        cluster.run(20);
        cluster.state().refuse(leader, false);
        cluster.run(20);
    }

    @ParameterizedTest
    @CsvSource({"5, false", "20, false", "45, false", "20, true"})
    void allControllersAreAway(double forS, boolean outageAfter) {
        begin(1);
        acceptService(JOB, "red", 4, 1);
        acceptService(OTHER, "blue", 3, 2);
        cluster.run(6);
        assertEquals("cancelled", cluster.withdraw(0, OTHER));
        for (int i = 0; i < 3; i++) {
            cluster.kill(i);
        }
        cluster.run(forS);
        cluster.state().setDown(outageAfter);
        for (int i = 0; i < 3; i++) {
            cluster.restart(i);
        }
        cluster.run(10);
        cluster.state().setDown(false);
        cluster.run(15);
        assertEquals(4, cluster.running(JOB));
        for (int i = 0; i < 4; i++) {
            assertEquals(
                    forS < 14 && !outageAfter ? 1 : 2, cluster.starts(JOB + "/" + i), "task " + i);
        }
    }

    /**
     * Just when a job's last task ends: of done and cancelled one stands and is told by every
     * controller.
     */
    @ParameterizedTest
    @CsvSource({"calm", "late", "slow"})
    void aCancellationMeetsTheEndOfTheLastTask(String state) {
        begin(1);
        cluster.state().lateWrites(state.equals("late") ? 0.2 : 0);
        SplittableRandom random = new SplittableRandom(1);
        if (state.equals("slow")) {
            cluster.network()
                    .delayAnswers(
                            (from, request) ->
                                    request.address().equals("state:1")
                                            ? random.nextDouble() * 0.6
                                            : 0);
        }
        for (int i = 0; i < 24; i++) {
            String id = "run-0003" + (10 + i);
            ObjectNode job = SimulatedCluster.job(id, "red", "sweep", 2, 1, 1);
            cluster.submit(i % 3, job, 2);
            cluster.run(2.6 + 0.05 * i);
            List<String> told = new ArrayList<>();
            for (int node = 0; node < 3; node++) {
                String path =
                        node == i % 3 ? "/submissions/" + id + "/withdraw" : "/submissions/" + id;
                cluster.user(node, node == i % 3 ? "POST" : "GET", path, "", 5, reply -> {});
                cluster.user(node, "POST", "/submissions", job.toString(), 5, reply -> {});
            }
            cluster.run(12);
            for (int node = 0; node < 3; node++) {
                told.add(cluster.phase(node, id));
            }
            assertEquals(1, new HashSet<>(told).size(), told + " for " + id);
        }
    }

    /**
     * A leader ends while machines with long tasks can't be reached, or don't hear the new leader's
     * answer.
     */
    @ParameterizedTest
    @CsvSource({
        "deaf,        1, returns", "deaf,        3, returns", "deaf,        1, away",
                "deaf,        3, away",
        "unreachable, 1, returns", "unreachable, 3, returns", "unreachable, 1, away",
                "unreachable, 3, away",
        "mute,        1, returns", "mute,        3, returns", "mute,        3, away",
                "taken,       1, away",
        "taken,       3, away", "deaf,        1, stays", "deaf,        3, stays",
                "unreachable, 3, stays",
    })
    void aLeaderEndsWhileMachinesDoNotHear(String trouble, int count, String leaders) {
        begin(1);
        acceptService(JOB, "blue", 8, 4);
        accept(SimulatedCluster.job(OTHER, "blue", "sweep", 4, 1, 0), 200);
        cluster.run(8);
        List<SimWorker> troubled = machines().subList(0, count);
        Set<String> names = new HashSet<>();
        troubled.forEach(
                machine -> {
                    names.add(machine.name());
                    names.add(machine.address());
                    switch (trouble) {
                        case "deaf" -> cluster.network().deafen(machine);
                        case "mute" -> cluster.network().mute(machine);
                        case "taken" -> cluster.cloud().take(machine);
                        default -> {}
                    }
                });
        cluster.network()
                .judge(
                        (from, request) ->
                                trouble.equals("unreachable")
                                                && (names.contains(from)
                                                        || names.contains(request.address()))
                                        ? Fate.DROP
                                        : Fate.DELIVER);
        int leader = cluster.leader();
        if (!leaders.equals("stays")) {
            cluster.kill(leader);
        }
        if (leaders.equals("returns")) {
            cluster.run(1);
            cluster.restart(leader);
        }
        cluster.run(120);
        // The trouble goes on: what it hit has been replaced.
        assertEquals(8, cluster.running(JOB));
        assertEquals(4, cluster.running(OTHER));
        cluster.restart(leader);
    }

    /**
     * Jobs of two or three tasks end far apart across changes of leader, with so much else that
     * rounds are rewritten.
     */
    @Test
    void tasksOfAJobEndFarApartAcrossChangesOfLeader() {
        begin(1);
        accept(SimulatedCluster.job(JOB, "red", "sweep", 3, 1, 1), 4);
        cluster.runsFor(JOB + "/1", 70);
        cluster.runsFor(JOB + "/2", 140);
        for (int i = 0; i < 40; i++) {
            accept(SimulatedCluster.job("run-0004" + (10 + i), "blue", "sweep", 3, 1, 1), 1);
            cluster.run(3);
            if (i % 12 == 11) {
                cluster.restart(cluster.leader());
                cluster.run(6);
            }
        }
        cluster.run(20);
        for (int i = 0; i < 3; i++) {
            assertEquals("done", cluster.phase(i, JOB));
            assertEquals(1, cluster.starts(JOB + "/" + i), "task " + i);
        }
    }

    /**
     * Workers can't open connections to any controller: direct commands stop what is cancelled,
     * nothing new goes there.
     */
    @ParameterizedTest
    @ValueSource(ints = {1, 3})
    void machinesReachNoController(int count) {
        begin(1);
        acceptService(JOB, "blue", 8, 2);
        acceptService(OTHER, "blue", 8, 1);
        cluster.run(6);
        List<SimWorker> mute = machines().subList(0, count);
        mute.forEach(cluster.network()::mute);
        cluster.run(1);
        int before = machines().size();
        assertEquals("cancelled", cluster.withdraw(follower(), OTHER));
        cluster.run(4);
        assertEquals(0, cluster.running(OTHER));
        assertTrue(machines().size() >= before, "halted directly, not deleted");
        cluster.run(70);
        assertEquals(8, cluster.running(JOB));
        int starts = 0;
        for (int i = 0; i < 8; i++) {
            starts += cluster.starts(JOB + "/" + i);
        }
        cluster.run(60);
        int later = 0;
        for (int i = 0; i < 8; i++) {
            later += cluster.starts(JOB + "/" + i);
        }
        assertEquals(starts, later, "nothing is started where its lease must run out");
    }

    /**
     * A team at its limit, unknown claims on machines that can't be asked, and a cancellation in
     * that spell.
     */
    @ParameterizedTest
    @CsvSource({"1, false", "2, false", "1, true", "2, true"})
    void aTeamIsAtItsLimitWhenTheLeaderChanges(int silent, boolean hang) {
        begin(1);
        acceptService(JOB, "red", 8, 1);
        acceptService(OTHER, "red", 8, 1);
        cluster.run(8);
        Set<String> names = new HashSet<>();
        List<SimWorker> machines = machines().subList(0, silent);
        machines.forEach(
                machine -> {
                    names.add(machine.name());
                    names.add(machine.address());
                    machine.hang(hang);
                });
        cluster.network()
                .judge(
                        (from, request) ->
                                names.contains(from) || names.contains(request.address())
                                        ? Fate.DROP
                                        : Fate.DELIVER);
        int leader = cluster.leader();
        cluster.kill(leader);
        cluster.run(3);
        acceptService("run-000003", "red", 8, 1);
        assertEquals("cancelled", cluster.withdraw((leader + 1) % 3, OTHER));
        cluster.run(10);
        cluster.restart(leader);
        machines.forEach(machine -> machine.hang(false));
        cluster.run(60);
        assertEquals(8, cluster.running(JOB));
        assertEquals(8, cluster.running("run-000003"));
    }

    /** What is cancelled on machines that hang may not go on when they wake. */
    @ParameterizedTest
    @CsvSource({
        "5, 1, false",
        "12, 1, false",
        "30, 1, false",
        "5, 4, false",
        "12, 4, false",
        "30, 4, false",
        "12, 4, true",
        "30, 2, true"
    })
    void cancelledTasksAreOnMachinesThatHang(double hangS, int machines, boolean leaderEnds) {
        begin(1);
        acceptService(JOB, "blue", 8, 2);
        acceptService(OTHER, "blue", 4, 1);
        cluster.run(8);
        List<SimWorker> hung = machines().subList(0, machines);
        cluster.run(0.3);
        assertEquals("cancelled", cluster.withdraw(follower(), JOB));
        hung.forEach(machine -> machine.hang(true));
        if (leaderEnds) {
            cluster.restart(cluster.leader());
        }
        cluster.run(hangS);
        hung.forEach(machine -> machine.hang(false));
        cluster.run(20);
        assertEquals(0, cluster.running(JOB));
    }

    /** Every answer of the state service takes longer than usual, some longer than anyone waits. */
    @ParameterizedTest
    @ValueSource(doubles = {0.3, 0.8, 1.5})
    void theStateServiceAnswersSlowly(double upToS) {
        begin(1);
        SplittableRandom random = new SplittableRandom(7);
        acceptService(JOB, "red", 4, 1);
        cluster.run(5);
        cluster.network()
                .delayAnswers(
                        (from, request) ->
                                request.address().equals("state:1")
                                                && !request.path().startsWith("/changes")
                                        ? random.nextDouble() * upToS
                                        : 0);
        churn(60, random);
        int leader = Math.max(0, cluster.leader());
        cluster.state().refuse(leader, true);
        cluster.submit(
                (leader + 1) % 3, SimulatedCluster.job(OTHER, "red", "service", 2, 1, 1), FOREVER);
        cluster.run(1);
        cluster.withdraw((leader + 1) % 3, OTHER);
        cluster.state().setDown(true);
        cluster.run(50);
        cluster.state().setDown(false);
        cluster.state().refuse(leader, false);
        churn(20, random);
    }
}
