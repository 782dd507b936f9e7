package org.springmill.control.coordination;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.springmill.sim.SimNetwork.Fate;
import org.springmill.sim.SimWorker;
import org.springmill.sim.SimulatedCluster;
import org.springmill.transport.HttpClient.Reply;
import org.springmill.transport.HttpClient.Request;

/** Chained jobs, through the whole service. The cluster notes every task that starts too early. */
class JobChainTest {
    /** A job's record, as each version wrote it: of its end and acceptance, its id, its names. */
    private static final String RECORD =
            """
            {"v":1%s,"job":{"nameId":"%s","grist":"c","crew":"red","shape":"sweep","urgency":"normal","sacks":2,\
            "vcpus":1.0,"cards":1.0,"memGb":1.0,"mould":"img-1","pullGb":1.0,"samePlace":false,"apart":false,\
            "loaner":false,"expectS":10.0,"stashEveryS":0.0,"stashS":0.0%s}}""";

    private SimulatedCluster cluster;

    @BeforeEach
    void threeControllersAndFourMachines() {
        cluster = new SimulatedCluster().machines("large", "a", 2).machines("large", "b", 2).run(6);
        assertNotEquals(-1, cluster.leader());
    }

    @AfterEach
    void noRuleIsBroken() {
        assertEquals(List.of(), cluster.broken());
    }

    private static String id(int number) {
        return String.format("run-%06d", number);
    }

    private static ObjectNode job(int number, int tasks, int... needed) {
        ObjectNode job = SimulatedCluster.job(id(number), "red", "sweep", tasks, 1, 1);
        ArrayNode names = job.putArray("waitsOn");
        for (int n : needed) {
            names.add(id(n));
        }
        return job;
    }

    private static ObjectNode service(int number, int tasks, int... needed) {
        return job(number, tasks, needed).put("shape", "service");
    }

    private void submit(int node, double runS, ObjectNode job) {
        assertEquals(201, cluster.submit(node, job, runS), job.toString());
    }

    private int follower() {
        return (cluster.leader() + 1) % 3;
    }

    private void allSay(String phase, int... numbers) {
        for (int number : numbers) {
            for (int node = 0; node < 3; node++) {
                assertEquals(phase, cluster.phase(node, id(number)), id(number) + " at " + node);
            }
        }
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            quoteCharacter = '`',
            value = {
                "null                             | 201 | queued",
                "[]                               | 201 | queued",
                "[~run-000001~]                   | 201 | queued",
                "[~run-000001~,~run-000001~]      | 201 | queued",
                "~run-000001~                     | 400 | waitsOn is not a list",
                "{}                               | 400 | waitsOn is not a list",
                "[1]                              | 400 | waitsOn holds something that is no job's id",
                "[null]                           | 400 | waitsOn holds something that is no job's id",
                "[~job-7~]                        | 400 | waitsOn holds something that is no job's id",
                "[~run-000009~]                   | 400 | waitsOn names the job itself",
                "[~run-000001~,~run-000007~]      | 422 | run-000007, which was never accepted",
                "[~run-000002~]                   | 422 | run-000002, a service",
            },
            ignoreLeadingAndTrailingWhitespace = true)
    void whatASubmissionNamesIsChecked(String names, int status, String says) {
        submit(0, 1e9, job(1, 1));
        submit(0, 1e9, service(2, 1));
        String body = SimulatedCluster.job(id(9), "red", "sweep", 1, 1, 1).toString();
        body =
                body.substring(0, body.length() - 1)
                        + ",\"waitsOn\":"
                        + names.replace('~', '"')
                        + "}";
        Reply reply = cluster.ask(1, "POST", "/submissions", body);
        String said = new String(reply.body(), StandardCharsets.UTF_8);
        assertEquals(status, reply.status(), said);
        assertTrue(said.contains(says), said);
    }

    @Test
    void aListThatNoRecordCanHoldIsRefusedAndSaysSo() {
        ObjectNode job = job(9, 1);
        for (int i = 0; i < 1000; i++) {
            job.withArray("waitsOn").add(id(100 + i));
        }
        Reply reply = cluster.ask(1, "POST", "/submissions", job.toString());
        assertEquals(422, reply.status());
        String said = new String(reply.body(), StandardCharsets.UTF_8);
        assertTrue(said.contains("bytes to store, more than"), said);
    }

    /**
     * Another controller accepted it a moment ago; without a read of the state service that cannot
     * be told.
     */
    @Test
    void aNameUnknownHereMayBeKnownElsewhere() {
        cluster.network()
                .judge(
                        (from, request) ->
                                from.equals("n-1")
                                                && request.path().startsWith("/changes?under=job")
                                                && !request.path().endsWith("waitMs=0")
                                        ? Fate.DROP
                                        : Fate.DELIVER);
        cluster.run(20);
        submit(0, 30, job(1, 1));
        submit(1, 1, job(2, 1, 1));
        submit(0, 30, job(3, 1));
        cluster.network()
                .judge(
                        (from, request) ->
                                from.equals("n-1") && request.path().startsWith("/changes")
                                        ? Fate.REFUSE
                                        : Fate.DELIVER);
        assertEquals(503, cluster.submit(1, job(4, 1, 3), 1));
        // Known there already, in whatever state the jobs are that it names.
        assertEquals(503, cluster.submit(1, job(3, 1), 1));
        cluster.network().judge((from, request) -> Fate.DELIVER);
        cluster.run(1);
        assertEquals(201, cluster.submit(1, job(4, 1, 3), 1));
        assertEquals(200, cluster.submit(1, job(3, 1), 30));
    }

    @Test
    void eachStepStartsAtOnceWhenTheLastThatItNeedsIsDone() {
        submit(0, 4, job(1, 2));
        submit(1, 4, job(2, 3, 1));
        submit(2, 9, job(3, 2, 1));
        submit(0, 4, job(4, 1, 2, 3, 1));
        allSay("queued", 4);
        // The image takes a second and each step its time; a second each for reports, records and
        // rounds.
        cluster.run(2 + 4 + 1 + 9 + 1 + 4 + 4);
        allSay("done", 1, 2, 3, 4);
        assertEquals(200, cluster.submit(1, job(4, 1, 2, 3, 1), 4));
    }

    /** The limit of the team is 16 cards. */
    @Test
    void whileItWaitsAJobTakesNothing() {
        submit(0, 30, job(1, 1));
        submit(0, 1e9, service(2, 15, 1));
        submit(1, 1e9, service(3, 12));
        int machines = cluster.cloud().machines().size();
        cluster.run(15);
        assertEquals(12, cluster.running(id(3)));
        assertEquals(0, cluster.starts(id(2) + "/0"));
        assertEquals(machines, cluster.cloud().machines().size());
        allSay("queued", 2);
        assertEquals("cancelled", cluster.withdraw(1, id(3)));
        cluster.run(30);
        assertEquals(15, cluster.running(id(2)));
    }

    /** Who is gone or cut off just after the answer. */
    @ParameterizedTest
    @ValueSource(strings = {"nobody", "leader", "all", "outage"})
    void aCancellationIsOneOfAllThatNeedTheJob(String lost) {
        submit(0, 3, job(1, 1));
        submit(0, 60, job(2, 1, 1));
        submit(1, 3, job(3, 2, 1));
        submit(1, 1, job(4, 1, 2, 3));
        submit(2, 1, job(5, 1, 4));
        submit(2, 1, job(6, 1, 3));
        cluster.run(10);
        assertEquals("cancelled", cluster.withdraw(follower(), id(2)));
        if (lost.equals("leader") || lost.equals("all")) {
            for (int node = 0; node < 3; node++) {
                if (node == cluster.leader() || lost.equals("all")) {
                    cluster.restart(node);
                }
            }
            cluster.run(3);
        } else if (lost.equals("outage")) {
            cluster.state().setDown(true);
            cluster.run(10);
            cluster.state().setDown(false);
            cluster.run(1);
        }
        allSay("cancelled", 2, 4, 5);
        // One that names it only now is accepted all the same.
        submit(1, 1, job(7, 1, 5));
        allSay("cancelled", 7);
        assertEquals(200, cluster.submit(0, job(5, 1, 4), 1));
        assertEquals("cancelled", cluster.withdraw(0, id(5)));
        cluster.run(30);
        allSay("done", 1, 3, 6);
        allSay("cancelled", 2, 4, 5, 7);
        assertEquals("cancelled", cluster.state().value("job/" + id(7)).path("end").asText());
        assertEquals(
                id(5),
                cluster.state().value("job/" + id(7)).path("job").path("waitsOn").path(0).asText());
        assertEquals("done", cluster.withdraw(1, id(1)));
        allSay("done", 3);
    }

    /**
     * Whoever dies, and whichever of its messages goes where, between the end of one step and the
     * start of the next.
     */
    @ParameterizedTest
    @CsvSource({
        "DROP, end",
        "LOSE_ANSWER, end",
        "HOLD, end",
        "DROP, claim",
        "LOSE_ANSWER, claim",
        "HOLD, claim"
    })
    void aLeaderDiesBetweenTwoSteps(Fate fate, String what) {
        submit(follower(), 3, job(1, 2));
        submit(follower(), 3, job(2, 2, 1));
        int leader = cluster.leader();
        cluster.network()
                .judge(
                        (from, request) -> {
                            String body = new String(request.body(), StandardCharsets.UTF_8);
                            boolean hit =
                                    from.equals("n-" + leader)
                                            && request.path().equals("/commit")
                                            && (what.equals("end")
                                                    ? body.contains("\"end\":\"done\"")
                                                    : body.contains("\"claims\":[[\"" + id(2)));
                            if (hit) {
                                cluster.clock().after(0.003, () -> cluster.kill(leader));
                            }
                            return hit ? fate : Fate.DELIVER;
                        });
        cluster.run(12);
        cluster.network().releaseHeld();
        cluster.run(30);
        cluster.restart(leader);
        cluster.run(5);
        allSay("done", 1, 2);
        for (int i = 0; i < 2; i++) {
            assertEquals(1, cluster.starts(id(2) + "/" + i));
        }
    }

    @Test
    void aWaveOfCancellationsIsToldAtOnceAndWrittenSlowly() {
        submit(0, 1e9, job(1, 1));
        for (int i = 2; i < 60; i++) {
            submit(i % 3, 1, job(i, 1, i % 4 == 0 ? 1 : i - 1));
        }
        assertEquals("cancelled", cluster.withdraw(0, id(1)));
        allSay("cancelled", 2, 31, 59);
        long before = ended();
        cluster.run(10);
        // A tenth of the 20 changes a second that the state service takes, in steps of half a
        // transaction.
        assertTrue(ended() - before <= 0.1 * 20 * 10 + 6, ended() + " after " + before);
        cluster.run(30);
        assertEquals(59, ended());
    }

    private long ended() {
        return cluster.state().keysUnder("job/").stream()
                .filter(key -> cluster.state().value(key).has("end"))
                .count();
    }

    /**
     * A leader that only its workers and users still reach, while a step of a chain is cancelled
     * elsewhere.
     */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void aStepIsCancelledWhileItsLeaderIsCutOff(boolean before) {
        submit(0, before ? 1e9 : 20, job(1, 2));
        submit(1, 1e9, job(2, 2, 1));
        submit(2, 1, job(3, 2, 2));
        cluster.run(8);
        int cut = cluster.leader();
        cluster.isolate(cut);
        cluster.run(before ? 1 : 25);
        int other = (cut + 1) % 3;
        assertEquals("cancelled", cluster.withdraw(other, id(before ? 1 : 2)));
        cluster.polled().run(60);
        assertEquals("cancelled", cluster.phase(other, id(3)));
        // Unless it was told, it cannot know, and says so rather than what it knew.
        String said = cluster.phase(cut, id(3));
        assertTrue(said.equals("503") || said.equals("cancelled"), said);
        cluster.calm().run(30);
        allSay("cancelled", 2, 3);
    }

    /**
     * Pipelines come in a burst while controllers are restarted one after the other and the network
     * holds things back.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void controllersRollUnderABurstOfPipelines(long seed) {
        cluster =
                new SimulatedCluster(seed)
                        .machines("large", "a", 2)
                        .machines("large", "b", 2)
                        .run(6);
        SplittableRandom random = new SplittableRandom(seed);
        cluster.network()
                .judge(
                        (from, request) ->
                                !from.startsWith("n-") || random.nextInt(100) > 5
                                        ? Fate.DELIVER
                                        : List.of(Fate.values())
                                                .get(random.nextInt(Fate.values().length)));
        cluster.polled();
        for (int i = 0; i < 8; i++) {
            int first = 10 * i + 1;
            accept(job(first, 3), random);
            accept(job(first + 1, 8, first), random);
            accept(job(first + 2, 4, first), random);
            accept(job(first + 3, 2, first + 1, first + 2), random);
            if (random.nextInt(3) == 0) {
                cluster.withdraw(random.nextInt(3), id(first + random.nextInt(4)));
            }
            cluster.restart(i % 3);
            cluster.run(2 + random.nextInt(4));
        }
        cluster.network().releaseHeld();
        cluster.run(10);
        cluster.calm().run(150);
        for (int i = 0; i < 8; i++) {
            for (int step = 1; step <= 4; step++) {
                String phase = cluster.phase(0, id(10 * i + step));
                assertTrue(
                        phase.equals("done") || phase.equals("cancelled"),
                        id(10 * i + step) + " is " + phase);
            }
        }
    }

    /** As a user does: again and again until there is an answer. */
    private void accept(ObjectNode job, SplittableRandom random) {
        int status = 0;
        for (int i = 0; i < 30 && status != 201 && status != 200; i++) {
            status = cluster.submit(random.nextInt(3), job, 1 + random.nextInt(5));
            cluster.run(status == 201 || status == 200 ? 0 : 1);
        }
        assertTrue(status == 201 || status == 200, job + ": " + status);
    }

    @Test
    void aNameGivenTwiceCountsOnce() {
        submit(0, 3, job(1, 1));
        submit(1, 3, job(2, 1, 1, 1));
        assertEquals(
                "[\"run-000001\"]",
                cluster.state().value("job/" + id(2)).path("job").path("waitsOn").toString());
        cluster.run(15);
        allSay("done", 1, 2);
    }

    /** What becomes of a job that names one of another team in each of its states. */
    @ParameterizedTest
    @CsvSource({
        "queued, done",
        "running, done",
        "done, done",
        "cancelled, cancelled",
    })
    void jobsInAnyStateAndOfAnotherTeamMayBeNamed(String state, String end) {
        submit(0, 8, job(1, 2).put("crew", "blue"));
        if (!state.equals("queued")) {
            cluster.run(state.equals("done") ? 15 : 5);
        }
        if (state.equals("cancelled")) {
            cluster.withdraw(1, id(1));
        }
        allSay(state, 1);
        submit(2, 1, job(2, 1, 1));
        cluster.run(20);
        allSay(end, 2);
        assertEquals(end.equals("done") ? 1 : 0, cluster.starts(id(2) + "/0"));
    }

    /**
     * The last job comes when all others are over, to a leader that knows them from their records
     * only, before and after its coming.
     */
    @Test
    void theLastOfAPipelineMayComeWhenTheOthersAreOver() {
        submit(0, 2, job(1, 2));
        submit(1, 2, job(2, 2, 1));
        cluster.run(15);
        allSay("done", 1, 2);
        cluster.restart(cluster.leader());
        cluster.run(5);
        submit(follower(), 2, job(3, 2, 1, 2));
        cluster.restart(cluster.leader());
        cluster.run(15);
        allSay("done", 3);
        assertEquals(1, cluster.starts(id(3) + "/0"));
    }

    /**
     * A chain, deep after the job that is cancelled and wide after the next: all controllers die
     * just after that write of the cancellation, of the job itself or of its dependents.
     */
    @ParameterizedTest
    @CsvSource({
        "DELIVER, 0",
        "DROP, 0",
        "LOSE_ANSWER, 0",
        "HOLD, 0",
        "DELIVER, 1",
        "DROP, 1",
        "LOSE_ANSWER, 1",
        "HOLD, 1",
        "DELIVER, 2",
        "HOLD, 2",
        "DELIVER, 3",
        "LOSE_ANSWER, 3"
    })
    void allControllersDieBetweenTwoWritesOfACancellation(Fate fate, int which) {
        submit(0, 2, job(1, 1));
        submit(1, 1e9, job(2, 2, 1));
        for (int i = 3; i <= 8; i++) {
            submit(i % 3, 1, job(i, 1, i - 1));
        }
        for (int i = 9; i <= 20; i++) {
            submit(i % 3, 1, job(i, 1, 3));
        }
        cluster.run(6);
        allSay("running", 2);
        int[] seen = new int[1];
        cluster.network()
                .judge(
                        (from, request) -> {
                            boolean hit =
                                    request.path().equals("/commit")
                                            && new String(request.body(), StandardCharsets.UTF_8)
                                                    .contains("\"end\":\"cancelled\"")
                                            && seen[0]++ == which;
                            if (hit) {
                                cluster.clock().after(0.003, this::killAll);
                            }
                            return hit ? fate : Fate.DELIVER;
                        });
        String answer = cluster.withdraw(follower(), id(2));
        cluster.run(20);
        assertTrue(seen[0] > which, "only " + seen[0] + " writes");
        for (int node = 0; node < 3; node++) {
            cluster.restart(node);
        }
        cluster.run(4);
        for (int i = 0; i < 10 && !answer.equals("cancelled"); i++) {
            answer = cluster.withdraw(i % 3, id(2));
            cluster.run(1);
        }
        allSay("cancelled", 2, 3, 8, 9, 20);
        cluster.network().releaseHeld();
        cluster.run(50);
        allSay("done", 1);
        allSay("cancelled", 2, 3, 4, 5, 6, 7, 8, 9, 20);
        assertEquals(0, cluster.running(id(2)));
        assertEquals(20, ended());
    }

    private void killAll() {
        for (int node = 0; node < 3; node++) {
            cluster.kill(node);
        }
    }

    /**
     * The state service refuses the leader alone, a step is cancelled at another controller, and
     * then it is down for all for longer than users wait.
     */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void aStepIsCancelledWhileItsLeaderIsRefusedBeforeALongOutage(boolean confirmerDies) {
        submit(0, 1e9, job(1, 2));
        submit(1, 1, job(2, 2, 1));
        submit(2, 1, job(3, 2, 2));
        cluster.run(8);
        int leader = cluster.leader();
        cluster.state().refuse(leader, true);
        cluster.run(1);
        int confirmer = (leader + 1) % 3;
        assertEquals("cancelled", cluster.withdraw(confirmer, id(1)));
        cluster.state().setDown(true);
        cluster.run(5);
        if (confirmerDies) {
            cluster.restart(confirmer);
        }
        cluster.run(45);
        assertEquals(0, cluster.running(id(1)));
        for (int node = 0; node < 3; node++) {
            String said = cluster.phase(node, id(3));
            assertTrue(said.equals("503") || said.equals("cancelled"), said + " at " + node);
        }
        cluster.state().refuse(leader, false);
        cluster.state().setDown(false);
        cluster.run(20);
        allSay("cancelled", 1, 2, 3);
        assertEquals(0, cluster.starts(id(2) + "/0"));
    }

    /**
     * The last task that a dependent waits for has just ended. Whichever of done and cancelled is
     * committed first holds for the dependent, too, whatever becomes of the other.
     */
    @ParameterizedTest
    @CsvSource({
        "DELIVER, 0",
        "DELIVER, 0.004",
        "DELIVER, 0.008",
        "DELIVER, 0.5",
        "HOLD, 0",
        "HOLD, 0.5",
        "DROP, 0.05",
        "LOSE_ANSWER, 0.004",
        "LOSE_ANSWER, 0.05"
    })
    void aCancellationMeetsTheEndOfTheLastTaskThatADependentWaitsFor(Fate fate, double laterS) {
        submit(0, 4, job(1, 2));
        submit(1, 1, job(2, 1, 1));
        cluster.network()
                .judge(
                        (from, request) ->
                                request.path().equals("/commit")
                                                && new String(
                                                                request.body(),
                                                                StandardCharsets.UTF_8)
                                                        .contains("\"end\":\"done\"")
                                        ? fate
                                        : Fate.DELIVER);
        cluster.run(4);
        assertEquals(2, cluster.running(id(1)));
        while (cluster.running(id(1)) > 0) {
            cluster.run(0.001);
        }
        cluster.run(laterS);
        String answer = cluster.withdraw(follower(), id(1));
        assertTrue(answer.equals("cancelled") || answer.equals("done"), answer);
        cluster.network().judge((from, request) -> Fate.DELIVER);
        cluster.network().releaseHeld();
        cluster.run(15);
        allSay(answer, 1, 2);
        assertEquals(answer.equals("done") ? 1 : 0, cluster.starts(id(2) + "/0"));
    }

    private static String record(int number, String front, int... needed) {
        String names = "";
        for (int n : needed) {
            names += (names.isEmpty() ? ",\"waitsOn\":[" : ",") + '"' + id(n) + '"';
        }
        return RECORD.formatted(front, id(number), names.isEmpty() ? "" : names + "]");
    }

    /**
     * Nothing orders the arrival of records: a dependent's is known, and written at a lower
     * revision, before that of the job that it needs, by a leader that reads them back and by one
     * that is in office.
     */
    @ParameterizedTest
    @CsvSource({
        "rebuild, queued, done",
        "rebuild, done, done",
        "rebuild, cancelled, cancelled",
        "watch, queued, done",
        "watch, done, done",
        "watch, cancelled, cancelled"
    })
    void aDependentIsKnownBeforeTheJobThatItNeeds(String how, String state, String end) {
        int[] over = state.equals("done") ? new int[] {0, 1} : new int[0];
        cluster.assume(job(9, 2), over);
        cluster.assume(job(1, 2, 9));
        cluster.assume(job(2, 2, 1));
        if (how.equals("rebuild")) {
            killAll();
            cluster.run(6);
        }
        put("job/" + id(2), record(2, ",\"accepted\":1000000001.0", 1));
        put("job/" + id(1), record(1, ",\"accepted\":1000000001.0", 9));
        cluster.run(5);
        assertEquals(0, cluster.starts(id(1) + "/0") + cluster.starts(id(2) + "/0"));
        String front = ",\"end\":\"" + state + "\",\"at\":1000000002.0";
        put("job/" + id(9), record(9, state.equals("queued") ? "" : front));
        if (state.equals("cancelled")) {
            // What its user did, whose answer the invariants have to know.
            cluster.restart(0);
            cluster.run(3);
            assertEquals("cancelled", cluster.withdraw(0, id(9)));
        }
        for (int node = 0; node < 3 && how.equals("rebuild"); node++) {
            cluster.restart(node);
        }
        cluster.run(20);
        allSay(end, 9, 1, 2);
        assertEquals(end.equals("done") ? 1 : 0, cluster.starts(id(2) + "/0"));
    }

    /** A machine is lost with the task that a dependent waits for, and perhaps the leader. */
    @ParameterizedTest
    @CsvSource({"taken, false", "taken, true", "hangs, false", "hangs, true"})
    void aTaskThatADependentWaitsForIsReplaced(String how, boolean leaderToo) {
        submit(0, 9, job(1, 2));
        submit(1, 1, job(2, 2, 1));
        cluster.run(8);
        SimWorker lost = cluster.holder(id(1) + "/0");
        if (how.equals("taken")) {
            cluster.cloud().take(lost);
        } else {
            lost.hang(true);
        }
        if (leaderToo) {
            cluster.restart(cluster.leader());
        }
        cluster.run(6);
        lost.hang(false);
        assertEquals(0, cluster.starts(id(2) + "/0"));
        cluster.run(60);
        allSay("done", 1, 2);
        assertEquals(1, cluster.starts(id(2) + "/0"));
    }

    /**
     * All tasks of a step are over and marked so, at the leader that saw it and at the one that
     * takes over what is reported: its dependents still wait for the record.
     */
    @Test
    void finishedTasksAreNoRecord() {
        submit(0, 5, job(1, 2));
        submit(1, 1, job(2, 2, 1));
        cluster.network()
                .judge(
                        (from, request) ->
                                new String(request.body(), StandardCharsets.UTF_8)
                                                .contains("\"end\":\"done\"")
                                        ? Fate.DROP
                                        : Fate.DELIVER);
        cluster.run(4);
        cluster.restart(cluster.leader());
        cluster.run(15);
        cluster.restart(cluster.leader());
        cluster.run(10);
        assertEquals(0, cluster.running(id(1)));
        assertEquals(0, cluster.starts(id(2) + "/0"));
        cluster.network().judge((from, request) -> Fate.DELIVER);
        cluster.run(10);
        allSay("done", 1, 2);
    }

    /** Claims of three terms stand when a leader takes over; a chain goes on under each. */
    @Test
    void claimsOfThreeTermsAreTakenOver() {
        submit(0, 12, job(1, 1));
        submit(1, 12, job(2, 1, 1));
        submit(2, 2, job(3, 1, 2));
        for (int term = 0; term < 3; term++) {
            submit(term, 1e9, service(10 + term, 2).put("crew", "blue"));
            cluster.run(4);
            cluster.restart(cluster.leader());
            cluster.run(4);
        }
        assertEquals(3, cluster.state().keysUnder("round/").stream().filter(this::claims).count());
        killAll();
        cluster.run(2);
        for (int node = 0; node < 3; node++) {
            cluster.restart(node);
        }
        cluster.run(25);
        allSay("done", 1, 2, 3);
        for (int term = 0; term < 3; term++) {
            assertEquals(2, cluster.running(id(10 + term)));
            assertEquals(1, cluster.starts(id(10 + term) + "/0"));
            assertEquals(1, cluster.starts(id(10 + term) + "/1"));
        }
    }

    /** Whether a round claims tasks of a service. */
    private boolean claims(String round) {
        return cluster.state().value(round).path("claims").toString().contains("run-00001");
    }

    /**
     * Records as each version wrote them, with those of its rounds, and a leader of this version
     * that takes over.
     */
    @Test
    void aLeaderTakesOverRecordsOfBothGenerations() {
        for (int node = 0; node < 3; node++) {
            cluster.kill(node);
        }
        cluster.run(5);
        String form = RECORD;
        put("job/" + id(1), form.formatted(",\"end\":\"done\",\"at\":1000000900.0", id(1), ""));
        put("job/" + id(2), form.formatted("", id(2), ""));
        put(
                "job/" + id(3),
                form.formatted(
                        ",\"accepted\":1000000950.0", id(3), ",\"waitsOn\":[\"run-000001\"]"));
        put(
                "job/" + id(4),
                form.formatted(
                        ",\"accepted\":1000000950.0",
                        id(4),
                        ",\"waitsOn\":[\"run-000001\",\"run-000002\"]"));
        put(
                "job/" + id(5),
                form.formatted(",\"end\":\"cancelled\",\"at\":1000000960.0", id(5), ""));
        put(
                "job/" + id(6),
                form.formatted(
                        ",\"accepted\":1000000950.0", id(6), ",\"waitsOn\":[\"run-000005\"]"));
        put(
                "round/000000000000007.00",
                "{\"v\":1,\"claims\":[[\"run-000001\",0,\"host-000001\",\"k1\"],"
                        + "[\"run-000002\",1,\"host-000009\",\"k2\"]],\"ended\":[],\"done\":[[\"run-000001\",\"0-1\"]]}");
        put(
                "round/000000000000008.00",
                "{\"v\":1,\"ended\":[\"k1\",\"k2\"],\"done\":[[\"run-000002\",\"1\"]]}");
        cluster.assume(job(1, 2), 0, 1);
        cluster.assume(job(2, 2), 1);
        cluster.assume(job(3, 2, 1));
        cluster.assume(job(4, 2, 1, 2));
        cluster.assume(job(5, 2));
        cluster.assume(job(6, 2, 5));
        for (int node = 0; node < 3; node++) {
            cluster.restart(node);
        }
        cluster.run(30);
        allSay("done", 1, 2, 3, 4);
        assertEquals("cancelled", cluster.withdraw(0, id(5)));
        allSay("cancelled", 5, 6);
        assertEquals(0, cluster.starts(id(2) + "/1"));
        // What is written of a job without dependencies is what the version before reads.
        submit(0, 1, SimulatedCluster.job(id(8), "red", "sweep", 2, 1, 1));
        assertEquals(
                form.formatted("", id(8), ""), cluster.state().value("job/" + id(8)).toString());
    }

    private void put(String key, String value) {
        cluster.network()
                .repeat(
                        new Request(
                                "state:1",
                                "POST",
                                "/commit",
                                ("{\"when\":[],\"writes\":[{\"write\":\""
                                                + key
                                                + "\",\"value\":"
                                                + value
                                                + "}]}")
                                        .getBytes(StandardCharsets.UTF_8),
                                1));
    }
}
