package org.springmill.control.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.springmill.sim.SimWorker;

/**
 * A zone is partitioned, a user cancels a job with tasks in it, and the key-value store is down for
 * longer than the cancellation deadline. Whoever is told that the job is cancelled is told the
 * truth: its tasks are gone in time, whichever controllers lead, crash or are in the zone.
 */
class PartitionedZoneCancellationTest extends SingleFailureFixture {
    private static final int REPLICAS = 4;
    private static final double OUTAGE_SECONDS = 57;

    /** Shorter than the leader's lease, so that no controller outside the zone leads yet. */
    private static final double CANCELLATION_AFTER_PARTITION_SECONDS = 0.3;

    private static final double OUTAGE_AFTER_CANCELLATION_SECONDS = 0.7;
    private static final double ELECTION_SECONDS = 8;

    private int leader;
    private int inZone;
    private int confirmer;
    private int third;

    @BeforeEach
    void twoJobsRunInBothZones() {
        submitService(0, JOB, "blue", REPLICAS, 4);
        submitService(1, OTHER, "blue", REPLICAS, 4);
        cluster.run(8);
        assertEquals(2 * REPLICAS, cluster.running(JOB) + cluster.running(OTHER));
        leader = cluster.leader();
    }

    /** Partitions zone b with the leader or another controller inside. */
    private void partition(boolean leaderInside) {
        inZone = leaderInside ? leader : (leader + 1) % CONTROLLERS;
        confirmer = (leader + 2) % CONTROLLERS;
        third = CONTROLLERS - inZone - confirmer;
        partitionZone("b", inZone);
    }

    private boolean runsInZone(String job) {
        return machines().stream()
                .filter(machine -> machine.zone().equals("b"))
                .anyMatch(machine -> runsAnyTaskOf(machine, job));
    }

    private static boolean runsAnyTaskOf(SimWorker machine, String job) {
        return IntStream.range(0, REPLICAS).anyMatch(task -> machine.runs(job + "/" + task));
    }

    private void endFailuresAndExpectRecovery() {
        cluster.keyValueStore().setDown(false);
        healZone(inZone);
        cluster.endFailures().run(60);
        assertEquals(0, cluster.running(JOB));
        assertEquals(REPLICAS, cluster.running(OTHER));
        for (int controller = 0; controller < CONTROLLERS; controller++) {
            assertEquals("cancelled", cluster.phase(controller, JOB));
        }
    }

    /**
     * Guards against ran_cancelled: the leader is in the zone, and nobody outside leads before the
     * outage begins.
     *
     * @param restarts which controller outside crashes during the outage
     */
    @ParameterizedTest
    @CsvSource({"none", "confirmer", "third"})
    void cancelledTasksOfTheLeadersZoneEndDuringAnOutage(String restarts) {
        partition(true);
        cluster.run(CANCELLATION_AFTER_PARTITION_SECONDS);
        assertTrue(runsInZone(JOB));
        assertEquals("cancelled", cluster.cancel(confirmer, JOB));
        cluster.run(OUTAGE_AFTER_CANCELLATION_SECONDS);
        cluster.keyValueStore().setDown(true);
        cluster.run(10);
        if (!restarts.equals("none")) {
            cluster.restart(restarts.equals("confirmer") ? confirmer : third);
        }
        cluster.run(OUTAGE_SECONDS - 10);
        endFailuresAndExpectRecovery();
    }

    /**
     * Guards against ran_cancelled: the outage begins after the cancellation was committed and
     * before anybody outside the zone knows the machines of its tasks. No controller may call the
     * job cancelled then.
     */
    @Test
    void nobodyIsToldWhileNoControllerOutsideKnowsTheMachines() {
        partition(true);
        cluster.run(CANCELLATION_AFTER_PARTITION_SECONDS);
        cluster.clock().after(0.05, () -> cluster.keyValueStore().setDown(true));
        assertEquals("503", cluster.cancel(confirmer, JOB));
        assertTrue(cluster.keyValueStore().value("job/" + JOB).toString().contains("cancelled"));
        for (int seconds = 0; seconds < 40; seconds += 5) {
            assertEquals("503", cluster.phase(third, JOB));
            assertEquals("503", cluster.cancel(third, JOB));
            assertEquals("503", cluster.cancel(confirmer, JOB));
            cluster.run(5);
        }
        cluster.keyValueStore().setDown(false);
        cluster.run(ELECTION_SECONDS);
        assertNotEquals(leader, cluster.leader());
        assertEquals("cancelled", cluster.cancel(confirmer, JOB));
        cluster.run(40);
        endFailuresAndExpectRecovery();
    }

    /**
     * Guards against ran_cancelled: a leader outside the zone knows the cancellation, and crashes
     * in the outage before it deletes the machines.
     *
     * @param secondsUntilCrash from the beginning of the outage
     */
    @ParameterizedTest
    @CsvSource({"0.1", "3", "20"})
    void cancelledTasksEndIfTheLeaderOutsideCrashesInTheOutage(double secondsUntilCrash) {
        partition(false);
        cluster.run(CANCELLATION_AFTER_PARTITION_SECONDS);
        assertEquals("cancelled", cluster.cancel(confirmer, JOB));
        cluster.keyValueStore().setDown(true);
        cluster.run(secondsUntilCrash);
        cluster.kill(leader);
        cluster.run(6);
        cluster.restart(leader);
        cluster.run(OUTAGE_SECONDS - 6 - secondsUntilCrash);
        endFailuresAndExpectRecovery();
    }

    /**
     * The cancellation comes before the partition, or after the election of a leader outside.
     *
     * @param cancelledBefore whether it comes before
     * @param outageAfter seconds from the cancellation to the outage
     */
    @ParameterizedTest
    @CsvSource({"true, 0", "true, 20", "false, 0", "false, 20"})
    void cancelledTasksEndWhoeverLeadsOutside(boolean cancelledBefore, double outageAfter) {
        if (cancelledBefore) {
            assertEquals("cancelled", cluster.cancel((leader + 2) % CONTROLLERS, JOB));
            partition(true);
        } else {
            partition(true);
            cluster.run(ELECTION_SECONDS);
            assertNotEquals(leader, cluster.leader());
            assertEquals("cancelled", cluster.cancel(confirmer, JOB));
        }
        cluster.run(outageAfter);
        cluster.keyValueStore().setDown(true);
        cluster.run(OUTAGE_SECONDS - outageAfter);
        endFailuresAndExpectRecovery();
    }

    /** Nothing is deleted for a cancellation whose tasks the leader has stopped. */
    @Test
    void stoppedTasksCostNoMachineInALaterOutageWithoutALeader() {
        List<SimWorker> before = machines();
        assertEquals("cancelled", cluster.cancel((leader + 2) % CONTROLLERS, JOB));
        cluster.run(5);
        assertEquals(0, cluster.running(JOB));
        cluster.keyValueStore().setDown(true);
        cluster.kill(leader);
        // Past the time at which overdue tasks are deleted, and within the bound of claim 8.3.
        cluster.run(26);
        assertEquals(before, machines());
        assertEquals(REPLICAS, cluster.running(OTHER));
        cluster.restart(leader);
        inZone = leader;
        endFailuresAndExpectRecovery();
        assertEachTaskStartedOnce(OTHER, REPLICAS);
    }
}
