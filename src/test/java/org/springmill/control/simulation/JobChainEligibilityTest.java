package org.springmill.control.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.springmill.control.simulation.MessageMatchers.text;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.springmill.sim.SimNetwork.Delivery;
import org.springmill.sim.SimWorker;

/** A job becomes eligible once all its dependencies are recorded as done. */
class JobChainEligibilityTest extends JobChainFixture {
    @Test
    void eachJobStartsAsSoonAsItsLastDependencyIsDone() {
        submit(0, 4, job(1, 2));
        submit(1, 4, job(2, 3, 1));
        submit(2, 9, job(3, 2, 1));
        submit(0, 4, job(4, 1, 2, 3, 1));
        assertPhaseEverywhere("queued", 4);
        // The sum of 2 s for the image, the run times of the jobs, 1 s after each dependency for
        // reports, records and rounds, and 4 s of tolerance.
        cluster.run(2 + 4 + 1 + 9 + 1 + 4 + 4);
        assertPhaseEverywhere("done", 1, 2, 3, 4);
        assertEquals(200, cluster.submit(1, job(4, 1, 2, 3, 1), 4));
    }

    /** The limit of the team is 16 GPUs. */
    @Test
    void aWaitingJobUsesNoneOfItsTeamsLimitAndRentsNoMachines() {
        submit(0, 30, job(1, 1));
        submit(0, 1e9, service(2, 15, 1));
        submit(1, 1e9, service(3, 12));
        int machines = cluster.cloud().machines().size();
        cluster.run(15);
        assertEquals(12, cluster.running(id(3)));
        assertEquals(0, cluster.starts(id(2) + "/0"));
        assertEquals(machines, cluster.cloud().machines().size());
        assertPhaseEverywhere("queued", 2);
        assertEquals("cancelled", cluster.cancel(1, id(3)));
        cluster.run(30);
        assertEquals(15, cluster.running(id(2)));
    }

    /**
     * Records may arrive in any order. Here the dependent's record has the lower revision, so the
     * leader reads it before that of the dependency, both when it rebuilds its state from the
     * records and when it watches them.
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
    void aDependentWhoseRecordArrivesFirstWaitsForItsDependency(
            String how, String state, String end) {
        int[] doneTasks = state.equals("done") ? new int[] {0, 1} : new int[0];
        cluster.registerStoredJob(job(9, 2), doneTasks);
        cluster.registerStoredJob(job(1, 2, 9));
        cluster.registerStoredJob(job(2, 2, 1));
        if (how.equals("rebuild")) {
            killControllers();
            cluster.run(6);
        }
        store("job/" + id(2), jobRecord(2, ",\"accepted\":1000000001.0", 1));
        store("job/" + id(1), jobRecord(1, ",\"accepted\":1000000001.0", 9));
        cluster.run(5);
        assertEquals(0, cluster.starts(id(1) + "/0") + cluster.starts(id(2) + "/0"));
        String stateFields = ",\"end\":\"" + state + "\",\"at\":1000000002.0";
        store("job/" + id(9), jobRecord(9, state.equals("queued") ? "" : stateFields));
        if (state.equals("cancelled")) {
            // The cancellation was written to the store directly; the request makes it known to the
            // invariant checks.
            cluster.restart(0);
            cluster.run(3);
            assertEquals("cancelled", cluster.cancel(0, id(9)));
        }
        for (int node = 0; node < 3 && how.equals("rebuild"); node++) {
            cluster.restart(node);
        }
        cluster.run(20);
        assertPhaseEverywhere(end, 9, 1, 2);
        assertEquals(end.equals("done") ? 1 : 0, cluster.starts(id(2) + "/0"));
    }

    /**
     * A machine that runs a task of the dependency is lost; in some cases the leader also restarts.
     */
    @ParameterizedTest
    @CsvSource({"taken, false", "taken, true", "hangs, false", "hangs, true"})
    void aDependentWaitsForTheReplacementOfALostTask(String how, boolean leaderRestarts) {
        submit(0, 9, job(1, 2));
        submit(1, 1, job(2, 2, 1));
        cluster.run(8);
        SimWorker lost = cluster.workerRunning(id(1) + "/0");
        if (how.equals("taken")) {
            cluster.cloud().reclaim(lost);
        } else {
            lost.setHung(true);
        }
        if (leaderRestarts) {
            cluster.restart(cluster.leader());
        }
        cluster.run(6);
        lost.setHung(false);
        assertEquals(0, cluster.starts(id(2) + "/0"));
        cluster.run(60);
        assertPhaseEverywhere("done", 1, 2);
        assertEquals(1, cluster.starts(id(2) + "/0"));
    }

    /**
     * All tasks of the dependency have finished, but neither the leader nor its successors can
     * commit the end of the job.
     */
    @Test
    void aDependentWaitsForTheRecordAfterAllTasksOfItsDependencyFinished() {
        submit(0, 5, job(1, 2));
        submit(1, 1, job(2, 2, 1));
        cluster.network()
                .setDeliveryRule(
                        (from, request) ->
                                text(request).contains("\"end\":\"done\"")
                                        ? Delivery.DROP
                                        : Delivery.DELIVER);
        cluster.run(4);
        cluster.restart(cluster.leader());
        cluster.run(15);
        cluster.restart(cluster.leader());
        cluster.run(10);
        assertEquals(0, cluster.running(id(1)));
        assertEquals(0, cluster.starts(id(2) + "/0"));
        deliverAllMessages();
        cluster.run(10);
        assertPhaseEverywhere("done", 1, 2);
    }
}
