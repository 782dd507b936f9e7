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
import org.junit.jupiter.params.provider.ValueSource;
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

    /**
     * Guards against ran_cancelled: all controllers that remember the cancellation crash in the
     * outage, together or one after the other.
     *
     * @param insideToo whether the controller in the zone crashes too
     * @param secondsBetween from the crash of one controller to that of the next
     * @param downSeconds from a crash to the restart
     */
    @ParameterizedTest
    @CsvSource({
        "false, 0, 0.2",
        "false, 0, 8",
        "true, 0, 0.2",
        "true, 0, 6",
        "true, 0, 8",
        "false, 4, 0.2",
        "false, 4, 8",
        "true, 3, 8",
    })
    void cancelledTasksEndIfAllWhoRememberThemCrashInTheOutage(
            boolean insideToo, double secondsBetween, double downSeconds) {
        partition(true);
        cluster.run(CANCELLATION_AFTER_PARTITION_SECONDS);
        assertEquals("cancelled", cluster.cancel(confirmer, JOB));
        cluster.keyValueStore().setDown(true);
        cluster.run(2);
        crash(confirmer, 0, downSeconds);
        crash(third, secondsBetween, downSeconds);
        if (insideToo) {
            crash(inZone, 2 * secondsBetween, downSeconds);
        }
        cluster.run(OUTAGE_SECONDS);
        endFailuresAndExpectRecovery();
    }

    /**
     * Guards against ran_cancelled: the controllers that remember the cancellation crash before the
     * outage, so that a leader may have been elected but not have recovered the state.
     *
     * @param secondsUntilOutage from the restart
     */
    @ParameterizedTest
    @CsvSource({"0.1", "0.5", "1", "2", "4"})
    void cancelledTasksEndIfTheOutageBeginsAfterTheCrash(double secondsUntilOutage) {
        partition(true);
        cluster.run(CANCELLATION_AFTER_PARTITION_SECONDS);
        assertEquals("cancelled", cluster.cancel(confirmer, JOB));
        cluster.kill(confirmer);
        cluster.kill(third);
        cluster.run(6);
        cluster.restart(confirmer);
        cluster.restart(third);
        cluster.run(secondsUntilOutage);
        cluster.keyValueStore().setDown(true);
        cluster.run(OUTAGE_SECONDS - secondsUntilOutage);
        endFailuresAndExpectRecovery();
    }

    /**
     * Guards against ran_cancelled: the outage pauses for so short a time that a leader is elected
     * outside, but does not recover the state.
     *
     * @param othersCrash whether the other controller outside, which remembers, crashes too
     */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void cancelledTasksEndWhileALeaderCannotRecover(boolean othersCrash) {
        partition(true);
        cluster.run(CANCELLATION_AFTER_PARTITION_SECONDS);
        assertEquals("cancelled", cluster.cancel(confirmer, JOB));
        cluster.keyValueStore().setDown(true);
        cluster.run(5);
        cluster.keyValueStore().refuseRequests((from, request) -> request.path().contains("round"));
        cluster.keyValueStore().setDown(false);
        cluster.run(5);
        assertNotEquals(leader, cluster.leader());
        cluster.keyValueStore().setDown(true);
        if (othersCrash) {
            crash(cluster.leader() == confirmer ? third : confirmer, 1, 6);
        }
        cluster.run(OUTAGE_SECONDS - 5);
        cluster.keyValueStore().refuseRequests(0);
        endFailuresAndExpectRecovery();
    }

    private void crash(int controller, double inSeconds, double downSeconds) {
        cluster.clock().after(inSeconds, () -> cluster.kill(controller));
        cluster.clock().after(inSeconds + downSeconds, () -> cluster.restart(controller));
    }

    /**
     * Any two of a partitioned zone, an outage and a crash of all controllers cost no machine, nor
     * do all three if the partition ends before the crash.
     */
    @ParameterizedTest
    @CsvSource({
        "true, true, false",
        "true, false, true",
        "false, true, true",
        "true, false, false",
        "false, true, false",
        "false, false, true"
    })
    void twoOfTheThreeFailuresCostNoMachine(boolean isPartition, boolean isOutage, boolean crash) {
        List<SimWorker> before = machines();
        if (isPartition) {
            partition(true);
        }
        inZone = leader;
        cluster.run(1);
        cluster.keyValueStore().setDown(isOutage);
        cluster.run(2);
        for (int controller = 0; crash && controller < CONTROLLERS; controller++) {
            crash(controller, 0, controller == 0 ? 25 : 6);
        }
        cluster.run(40);
        assertEquals(before, machines());
        cluster.keyValueStore().setDown(false);
        healZone(inZone);
        cluster.endFailures().run(60);
        assertEquals(2 * REPLICAS, cluster.running(JOB) + cluster.running(OTHER));
    }

    /**
     * A controller that has lost its peers and the key-value store, and crashes, deletes nothing.
     */
    @ParameterizedTest
    @CsvSource({"true", "false"})
    void aSingleIsolatedControllerDeletesNothing(boolean isOutage) {
        List<SimWorker> before = machines();
        int isolated = (leader + 1) % CONTROLLERS;
        cluster.isolate(isolated);
        cluster.keyValueStore().setDown(isOutage);
        cluster.restart(isolated);
        cluster.run(40);
        assertEquals(before, machines());
        inZone = isolated;
        cluster.keyValueStore().setDown(false);
        cluster.endFailures().run(60);
        assertEquals(2 * REPLICAS, cluster.running(JOB) + cluster.running(OTHER));
    }

    /** One controller that survives outside remembers: only what was cancelled is deleted. */
    @Test
    void aControllerThatRemembersSparesTheOtherMachinesOfTheZone() {
        cluster.machines("large", "b", 1).run(2);
        submitService(0, "run-000003", "blue", 1, 8);
        cluster.run(4);
        List<SimWorker> before = machines();
        partition(true);
        cluster.run(CANCELLATION_AFTER_PARTITION_SECONDS);
        assertEquals("cancelled", cluster.cancel(confirmer, JOB));
        List<SimWorker> withTasks =
                before.stream().filter(machine -> runsAnyTaskOf(machine, JOB)).toList();
        cluster.keyValueStore().setDown(true);
        cluster.run(2);
        crash(third, 0, 6);
        cluster.run(40);
        for (SimWorker machine : before) {
            boolean mayBeDeleted = withTasks.contains(machine);
            assertTrue(mayBeDeleted || machines().contains(machine), machine.name());
        }
        endFailuresAndExpectRecovery();
    }
}
