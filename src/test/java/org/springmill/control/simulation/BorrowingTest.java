package org.springmill.control.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.springmill.sim.SimWorker;
import org.springmill.sim.SimulatedCluster;

/** Loans between teams and their recall, where nothing fails. */
class BorrowingTest extends BorrowingFixture {
    private static final int SWINGS = 10;
    private static final double SWING_SECONDS = 12;

    /** Blue wants more than its guarantee: red keeps the 8 GPUs that it is guaranteed. */
    @Test
    void noTeamIsPushedBelowItsGuaranteeByAHigherPriority() {
        startBorrowing(1);
        accept(batch(BATCH, "red", 8), FOREVER);
        accept(serving(SERVING, "blue", 24), FOREVER);
        cluster.run(10);
        assertEquals(24, cluster.running(SERVING));
        accept(serving(OTHER, "blue", 8), FOREVER);
        cluster.run(20);
        assertEquals(8, cluster.running(BATCH));
        assertEquals(0, cluster.running(OTHER));
        assertEquals(0, checker.committedRecallCount());
    }

    /**
     * What red runs above its guarantee uses borrowed resources, which are recalled when another
     * team needs them within its guarantee.
     */
    @Test
    void loansAreRecalledForServingAndReturnedAfterwards() {
        startBorrowing(2);
        accept(fineTuning(BATCH, "red", 16), 120);
        accept(fineTuning(FINE_TUNING, "blue", 16), 120);
        cluster.run(12);
        assertEquals(32, cluster.running(BATCH) + cluster.running(FINE_TUNING));
        accept(serving(SERVING, "amber", 8), FOREVER);
        cluster.run(6);
        assertEquals(8, cluster.running(SERVING));
        assertEquals(8, checker.haltsForOthers());
        assertEquals(24, cluster.running(BATCH) + cluster.running(FINE_TUNING));
        assertEquals(0, checker.storedRecallCount(), "every recall is settled");
        cluster.cancel(0, SERVING);
        cluster.run(60);
        assertEquals(32, cluster.running(BATCH) + cluster.running(FINE_TUNING));
        cluster.run(160);
        assertEquals("done", cluster.phase(0, BATCH));
        assertEquals("done", cluster.phase(0, FINE_TUNING));
        assertEquals(8, cluster.progress().resumed(), "each resumes from its checkpoint");
        assertEquals(0, cluster.progress().lostSeconds(), 0.1);
    }

    /**
     * One transaction releases the victims' allocations and allocates the replicas of the recall.
     */
    @Test
    void replicasStartSoonAfterTheirVictimsAreGone() {
        startBorrowing(3);
        accept(batch(BATCH, "red", 16), FOREVER);
        accept(batch(FINE_TUNING, "blue", 16), FOREVER);
        cluster.setImageFetchSeconds(0.1);
        cluster.run(10);
        accept(serving(SERVING, "amber", 8), FOREVER);
        cluster.run(1.5);
        assertEquals(8, cluster.running(SERVING));
    }

    /**
     * Victims are chosen for the least lost work: tasks that save checkpoints before tasks that
     * cannot.
     */
    @Test
    void victimsAreChosenForTheWholeDemandByWhatIsLost() {
        startBorrowing(4);
        accept(batch(BATCH, "red", 16), FOREVER);
        accept(fineTuning(FINE_TUNING, "blue", 16), FOREVER);
        cluster.run(40);
        accept(serving(SERVING, "amber", 8), FOREVER);
        cluster.run(8);
        assertEquals(8, cluster.running(SERVING));
        assertEquals(16, cluster.running(BATCH));
        assertEquals(8, cluster.running(FINE_TUNING));
    }

    /** Many small tasks on one machine are recalled for one large replica. */
    @Test
    void manySmallTasksAreRecalledForOneLargeReplica() {
        startBorrowing(5);
        for (int i = 0; i < 4; i++) {
            accept(smallBatch("run-00004" + i, 250), FOREVER);
        }
        cluster.run(40);
        assertEquals(1000, smallTasks());
        var replica = SimulatedCluster.job(SERVING, "amber", "service", 1, 1, 8);
        accept(replica.put("urgency", "prod"), FOREVER);
        cluster.run(20);
        assertEquals(1, cluster.running(SERVING));
    }

    private static com.fasterxml.jackson.databind.node.ObjectNode smallBatch(String id, int tasks) {
        return SimulatedCluster.job(id, "blue", "sweep", tasks, 0.01, 0.03)
                .put("memGb", 0.1)
                .put("expectS", 300.0);
    }

    private int smallTasks() {
        int tasks = 0;
        for (int i = 0; i < 4; i++) {
            tasks += cluster.running("run-00004" + i);
        }
        return tasks;
    }

    /**
     * Guards against lending again immediately after a recall: ten swings in demand stopped 80
     * tasks.
     */
    @Test
    void oscillatingDemandStopsFewTasks() {
        startBorrowing(6);
        accept(batch(BATCH, "red", 16), FOREVER);
        accept(batch(FINE_TUNING, "blue", 16), FOREVER);
        cluster.run(10);
        for (int i = 0; i < SWINGS; i++) {
            String id = "run-00050" + i;
            accept(serving(id, "amber", 8), FOREVER);
            cluster.run(SWING_SECONDS);
            assertEquals(8, cluster.running(id), "swing " + i);
            cluster.cancel(0, id);
            cluster.run(SWING_SECONDS);
        }
        assertTrue(checker.haltsForOthers() <= 24, checker.haltsForOthers() + " tasks");
        cluster.run(60);
        assertEquals(32, cluster.running(BATCH) + cluster.running(FINE_TUNING), "lent again");
    }

    /** Without recalls no GPUs are reserved: freed GPUs go to waiting tasks immediately. */
    @Test
    void freedGpusAreLentImmediatelyWithoutRecalls() {
        startBorrowing(7);
        accept(serving(SERVING, "amber", 16), FOREVER);
        accept(batch(FINE_TUNING, "blue", 32), FOREVER);
        cluster.run(10);
        assertEquals(16, cluster.running(FINE_TUNING));
        cluster.cancel(0, SERVING);
        cluster.run(4);
        assertEquals(32, cluster.running(FINE_TUNING));
        assertEquals(0, checker.committedRecallCount());
    }

    /**
     * A save that never ends is aborted: a halt without a grace period follows after a limited
     * time.
     */
    @Test
    void saveThatNeverEndsIsAborted() {
        startBorrowing(8);
        accept(fineTuning(BATCH, "red", 16), 500);
        accept(fineTuning(FINE_TUNING, "blue", 16), 500);
        cluster.progress().setSaveSeconds(BATCH, FOREVER);
        cluster.progress().setSaveSeconds(FINE_TUNING, FOREVER);
        cluster.run(12);
        accept(serving(SERVING, "amber", 8), FOREVER);
        cluster.run(12);
        assertEquals(8, cluster.running(SERVING));
    }

    /**
     * The resources of a hung machine are not released, so the recall falls back to other victims.
     */
    @Test
    void recallFallsBackWhenTheVictimsMachineHangs() {
        startBorrowing(9);
        accept(fineTuning(BATCH, "red", 16), 500);
        accept(fineTuning(FINE_TUNING, "blue", 16), 500);
        cluster.run(12);
        accept(serving(SERVING, "amber", 1), FOREVER);
        cluster.run(0.6);
        SimWorker hung = machineOfARecall();
        hung.setHung(true);
        cluster.run(9);
        assertEquals(1, cluster.running(SERVING));
        hung.setHung(false);
        cluster.run(20);
    }

    /** A task ignores its halt while its machine responds: other tasks are recalled instead. */
    @Test
    void recallFallsBackWhenAVictimIgnoresItsHalt() {
        startBorrowing(11);
        accept(fineTuning(BATCH, "red", 16), 500);
        accept(fineTuning(FINE_TUNING, "blue", 16), 500);
        cluster.run(12);
        SimWorker first = cluster.workerRunning(BATCH + "/0");
        SimWorker other = cluster.workerRunning(FINE_TUNING + "/0");
        first.setIgnoringHalts(true);
        other.setIgnoringHalts(true);
        accept(serving(SERVING, "amber", 2), FOREVER);
        cluster.run(40);
        assertEquals(2, cluster.running(SERVING));
        first.setIgnoringHalts(false);
        other.setIgnoringHalts(false);
        cluster.run(10);
    }

    private SimWorker machineOfARecall() {
        return machines().stream()
                .filter(machine -> checker.isRecalledOn(machine))
                .findFirst()
                .orElse(machines().get(0));
    }

    /** Work of a team is preempted for work of higher priority of the same team. */
    @Test
    void workIsPreemptedForWorkOfHigherPriorityOfTheSameTeam() {
        startBorrowing(10);
        accept(batch(BATCH, "red", 8), FOREVER);
        accept(serving("run-000060", "blue", 24), FOREVER);
        cluster.run(10);
        accept(serving(SERVING, "red", 4), FOREVER);
        cluster.run(8);
        assertEquals(4, cluster.running(SERVING));
        assertEquals(4, cluster.running(BATCH));
        assertEquals(24, cluster.running("run-000060"));
    }
}
