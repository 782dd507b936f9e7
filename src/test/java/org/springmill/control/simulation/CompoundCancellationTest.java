package org.springmill.control.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.springmill.control.simulation.MessageMatchers.toKeyValueStore;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.springmill.sim.SimWorker;
import org.springmill.sim.SimulatedCluster;

/** Jobs are cancelled while controllers are isolated or machines hang or are partitioned. */
class CompoundCancellationTest extends CompoundFailureFixture {
    /**
     * Workers and users still reach the isolated leader, while a job is cancelled through another
     * controller. In one case a machine that runs a task of this job hangs meanwhile.
     */
    @ParameterizedTest
    @CsvSource({"30, 0", "60, 0", "110, 0", "60, 12"})
    void cancelledTasksEndWhileTheLeaderIsIsolatedFromStateServiceAndPeers(
            double durationSeconds, double hangSeconds) {
        startCluster(2);
        acceptService(JOB, "red", 4, 1);
        acceptService(OTHER, "blue", 4, 1);
        for (int i = 0; i < 9; i++) {
            acceptService("run-00010" + i, "blue", 1, 1);
        }
        cluster.run(12);
        int isolated = cluster.leader();
        cluster.isolate(isolated);
        cluster.run(1);
        SimWorker hung = cluster.workerRunning(FIRST_TASK);
        hung.setHung(hangSeconds > 0);
        for (int i = 0;
                i < 20 && !"cancelled".equals(cluster.cancel((isolated + 1) % 3, JOB));
                i++) {
            cluster.run(0.5);
        }
        cluster.run(hangSeconds);
        hung.setHung(false);
        for (int i = 0; i < durationSeconds / 5; i++) {
            cluster.submit(
                    (isolated + i) % 3,
                    SimulatedCluster.job("run-00080" + i, "blue", "sweep", 1, 1, 1),
                    3);
            cluster.cancel(isolated, "run-00080" + i);
            cluster.run(4);
        }
        assertEquals(0, cluster.running(JOB));
    }

    /**
     * Whichever of done and cancelled is committed first is final and reported by every controller.
     */
    @ParameterizedTest
    @CsvSource({"normal", "late_commits", "slow"})
    void cancellationAtTheEndOfTheLastTaskYieldsOneFinalPhase(String storeBehavior) {
        startCluster(1);
        cluster.keyValueStore().delayCommits(storeBehavior.equals("late_commits") ? 0.2 : 0);
        SplittableRandom random = new SplittableRandom(1);
        if (storeBehavior.equals("slow")) {
            cluster.network()
                    .delayResponses(
                            (from, request) ->
                                    toKeyValueStore(request) ? random.nextDouble() * 0.6 : 0);
        }
        for (int i = 0; i < 24; i++) {
            String id = "run-0003" + (10 + i);
            ObjectNode job = SimulatedCluster.job(id, "red", "sweep", 2, 1, 1);
            cluster.submit(i % 3, job, 2);
            cluster.run(2.6 + 0.05 * i);
            List<String> phases = new ArrayList<>();
            for (int node = 0; node < 3; node++) {
                String path =
                        node == i % 3 ? "/submissions/" + id + "/withdraw" : "/submissions/" + id;
                cluster.sendAsUser(node, node == i % 3 ? "POST" : "GET", path, "", 5, reply -> {});
                cluster.sendAsUser(node, "POST", "/submissions", job.toString(), 5, reply -> {});
            }
            cluster.run(12);
            for (int node = 0; node < 3; node++) {
                phases.add(cluster.phase(node, id));
            }
            assertEquals(1, new HashSet<>(phases).size(), phases + " for " + id);
        }
    }

    /**
     * Some workers cannot connect to any controller, while direct commands reach them: those halt
     * cancelled tasks, and no new work is placed there.
     */
    @ParameterizedTest
    @ValueSource(ints = {1, 3})
    void cancelledTasksAreHaltedDirectlyOnMachinesThatReachNoController(int count) {
        startCluster(1);
        acceptService(JOB, "blue", 8, 2);
        acceptService(OTHER, "blue", 8, 1);
        cluster.run(6);
        List<SimWorker> unableToReport = machines().subList(0, count);
        unableToReport.forEach(cluster.network()::blockHeartbeatsFrom);
        cluster.run(1);
        int machinesBefore = machines().size();
        assertEquals("cancelled", cluster.cancel(follower(), OTHER));
        cluster.run(4);
        assertEquals(0, cluster.running(OTHER));
        assertTrue(machines().size() >= machinesBefore, "halted directly, not deleted");
        cluster.run(70);
        assertEquals(8, cluster.running(JOB));
        int starts = 0;
        for (int i = 0; i < 8; i++) {
            starts += cluster.starts(JOB + "/" + i);
        }
        cluster.run(60);
        int startsLater = 0;
        for (int i = 0; i < 8; i++) {
            startsLater += cluster.starts(JOB + "/" + i);
        }
        assertEquals(
                starts, startsLater, "nothing is started on machines whose leases will expire");
    }

    /** One to four machines hang; in some cases the leader restarts meanwhile. */
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
    void cancelledTasksDoNotContinueWhenHungMachinesResume(
            double hangSeconds, int machines, boolean leaderEnds) {
        startCluster(1);
        acceptService(JOB, "blue", 8, 2);
        acceptService(OTHER, "blue", 4, 1);
        cluster.run(8);
        List<SimWorker> hung = machines().subList(0, machines);
        cluster.run(0.3);
        assertEquals("cancelled", cluster.cancel(follower(), JOB));
        hung.forEach(machine -> machine.setHung(true));
        if (leaderEnds) {
            cluster.restart(cluster.leader());
        }
        cluster.run(hangSeconds);
        hung.forEach(machine -> machine.setHung(false));
        cluster.run(20);
        assertEquals(0, cluster.running(JOB));
    }

    /**
     * Every response of the key-value store but those to watches is delayed, in the last case some
     * past the timeout of the request. Later the store refuses the leader, and then is down for a
     * while.
     */
    @ParameterizedTest
    @ValueSource(doubles = {0.3, 0.8, 1.5})
    void cancellationsWithASlowStateServiceAndAnOutageBreakNoInvariant(double maxDelaySeconds) {
        startCluster(1);
        SplittableRandom random = new SplittableRandom(7);
        acceptService(JOB, "red", 4, 1);
        cluster.run(5);
        cluster.network()
                .delayResponses(
                        (from, request) ->
                                toKeyValueStore(request) && !request.path().startsWith("/changes")
                                        ? random.nextDouble() * maxDelaySeconds
                                        : 0);
        submitAndCancelJobs(60, random);
        int leader = Math.max(0, cluster.leader());
        cluster.keyValueStore().refuseController(leader, true);
        cluster.submit(
                (leader + 1) % 3, SimulatedCluster.job(OTHER, "red", "service", 2, 1, 1), FOREVER);
        cluster.run(1);
        cluster.cancel((leader + 1) % 3, OTHER);
        cluster.keyValueStore().setDown(true);
        cluster.run(50);
        cluster.keyValueStore().setDown(false);
        cluster.keyValueStore().refuseController(leader, false);
        submitAndCancelJobs(20, random);
    }
}
