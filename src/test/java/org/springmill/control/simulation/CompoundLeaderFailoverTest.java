package org.springmill.control.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.springmill.sim.SimNetwork.Delivery;
import org.springmill.sim.SimWorker;
import org.springmill.sim.SimulatedCluster;

/** Leadership changes again and again, or while machines are unreachable. */
class CompoundLeaderFailoverTest extends CompoundFailureFixture {
    @ParameterizedTest
    @CsvSource({"none, 0", "outage, 0", "outage, 0.2", "reports, 0.2", "leader_down, 0"})
    void tenLeaderChangesInTwoMinutesStartEachTaskOnce(String meanwhile, double late) {
        startCluster(3);
        acceptService(JOB, "red", 6, 1);
        accept(SimulatedCluster.job(OTHER, "blue", "sweep", 3, 1, 1), 5);
        cluster.setRunSeconds(OTHER + "/1", 50);
        cluster.setRunSeconds(OTHER + "/2", 100);
        cluster.keyValueStore().delayCommits(late);
        cluster.network().duplicateHeartbeats(meanwhile.equals("reports") ? 0.5 : 0);
        for (int i = 0; i < 10; i++) {
            cluster.keyValueStore().setDown(meanwhile.equals("outage") && i >= 3 && i < 6);
            int leader = Math.max(0, cluster.leader());
            cluster.kill(leader);
            cluster.run(meanwhile.equals("leader_down") ? 11 : 1);
            cluster.restart(leader);
            cluster.run(meanwhile.equals("leader_down") ? 1 : 5);
            cluster.submit(
                    i % 3, SimulatedCluster.job("run-00070" + i, "blue", "sweep", 1, 1, 1), 3);
            cluster.run(5);
            if (i % 3 == 0) {
                cluster.cancel((i + 1) % 3, "run-00070" + i);
            }
        }
        cluster.endFailures().run(60);
        assertEquals("done", cluster.phase(0, OTHER));
        assertEachTaskStartedOnce(OTHER, 3);
    }

    /** Leadership is handed over and back, all controllers crash and one returns within seconds. */
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
    void rapidHandoversOfLeadershipRestartNoTask(double pauseSeconds, boolean holdPeerMessages) {
        startCluster(4);
        acceptService(JOB, "red", 4, 1);
        cluster.run(5);
        for (int round = 0; round < 4; round++) {
            int leader = Math.max(0, cluster.leader());
            if (holdPeerMessages) {
                cluster.holdPeerMessages();
            }
            cluster.run(0.2);
            cluster.kill(leader);
            cluster.run(pauseSeconds);
            cluster.restart(leader);
            cluster.run(pauseSeconds / 2);
            cluster.releasePeerMessages();
            cluster.run(pauseSeconds);
            cluster.restart(Math.max(0, cluster.leader()));
            cluster.run(pauseSeconds);
            for (int i = 0; i < 3; i++) {
                cluster.kill((leader + i) % 3);
                cluster.run(pauseSeconds / 3);
            }
            cluster.restart((leader + round) % 3);
            cluster.run(pauseSeconds * 2);
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
            cluster.cancel(round % 3, "run-00090" + round);
        }
        cluster.run(5);
        assertEachTaskStartedOnce(JOB, 4);
    }

    /**
     * A controller restarts in an outage, while peer messages of its earlier incarnation, which
     * confirm nothing about the new one, are still in flight.
     */
    @ParameterizedTest
    @ValueSource(doubles = {0.4, 1, 2, 5})
    void peerMessagesToAnEarlierIncarnationBreakNoInvariant(double delaySeconds) {
        startCluster(5);
        acceptService(JOB, "red", 4, 1);
        cluster.run(5);
        int leader = cluster.leader();
        cluster.keyValueStore().setDown(true);
        cluster.run(3);
        cluster.holdPeerMessages();
        cluster.run(0.6);
        cluster.kill(leader);
        cluster.run(delaySeconds);
        cluster.restart(leader);
        cluster.run(0.5);
        cluster.keyValueStore().setDown(false);
        cluster.run(1);
        cluster.releasePeerMessages();
        cluster.run(0.5);
        cluster.keyValueStore().refuseController(leader, true);
        assertTrue(
                cluster.cancel((leader + 1) % 3, JOB).equals("cancelled") || cluster.leader() < 0);
        cluster.run(20);
        cluster.keyValueStore().refuseController(leader, false);
        cluster.run(20);
    }

    @ParameterizedTest
    @CsvSource({"5, false", "20, false", "45, false", "20, true"})
    void tasksRestartOnlyIfAllControllersAreAwayForLongerThanALease(
            double durationSeconds, boolean outageAfter) {
        startCluster(1);
        acceptService(JOB, "red", 4, 1);
        acceptService(OTHER, "blue", 3, 2);
        cluster.run(6);
        assertEquals("cancelled", cluster.cancel(0, OTHER));
        for (int i = 0; i < 3; i++) {
            cluster.kill(i);
        }
        cluster.run(durationSeconds);
        cluster.keyValueStore().setDown(outageAfter);
        for (int i = 0; i < 3; i++) {
            cluster.restart(i);
        }
        cluster.run(10);
        cluster.keyValueStore().setDown(false);
        cluster.run(15);
        assertEquals(4, cluster.running(JOB));
        for (int i = 0; i < 4; i++) {
            assertEquals(
                    durationSeconds < 14 && !outageAfter ? 1 : 2,
                    cluster.starts(JOB + "/" + i),
                    "task " + i);
        }
    }

    /**
     * The leader crashes while machines with long tasks are unreachable, or do not get the
     * responses of the new leader.
     */
    @ParameterizedTest
    @CsvSource({
        "responses_lost,  1, returns", "responses_lost,  3, returns", "responses_lost,  1, away",
                "responses_lost,  3, away",
        "unreachable, 1, returns", "unreachable, 3, returns", "unreachable, 1, away",
                "unreachable, 3, away",
        "reports_refused, 1, returns", "reports_refused, 3, returns", "reports_refused, 3, away",
                "reclaimed,   1, away",
        "reclaimed,   3, away", "responses_lost,  1, stays", "responses_lost,  3, stays",
                "unreachable, 3, stays",
    })
    void tasksOnUnreachableMachinesAreReplacedWhenTheLeaderCrashes(
            String failure, int count, String leaders) {
        startCluster(1);
        acceptService(JOB, "blue", 8, 4);
        accept(SimulatedCluster.job(OTHER, "blue", "sweep", 4, 1, 0), 200);
        cluster.run(8);
        List<SimWorker> affected = machines().subList(0, count);
        Set<String> names = new HashSet<>();
        affected.forEach(
                machine -> {
                    names.add(machine.name());
                    names.add(machine.address());
                    switch (failure) {
                        case "responses_lost" -> cluster.network().blockMessagesTo(machine);
                        case "reports_refused" -> cluster.network().blockHeartbeatsFrom(machine);
                        case "reclaimed" -> cluster.cloud().reclaim(machine);
                        default -> {}
                    }
                });
        cluster.network()
                .setDeliveryRule(
                        (from, request) ->
                                failure.equals("unreachable")
                                                && (names.contains(from)
                                                        || names.contains(request.address()))
                                        ? Delivery.DROP
                                        : Delivery.DELIVER);
        int leader = cluster.leader();
        if (!leaders.equals("stays")) {
            cluster.kill(leader);
        }
        if (leaders.equals("returns")) {
            cluster.run(1);
            cluster.restart(leader);
        }
        cluster.run(120);
        // The failure persists, and the affected tasks have been replaced.
        assertEquals(8, cluster.running(JOB));
        assertEquals(4, cluster.running(OTHER));
        cluster.restart(leader);
    }

    /**
     * The tasks of a job complete far apart, across leader changes, with so much other work that
     * the round log is compacted meanwhile.
     */
    @Test
    void completedTasksStayCompletedAcrossLeaderChangesAndCompaction() {
        startCluster(1);
        accept(SimulatedCluster.job(JOB, "red", "sweep", 3, 1, 1), 4);
        cluster.setRunSeconds(JOB + "/1", 70);
        cluster.setRunSeconds(JOB + "/2", 140);
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
}
