package org.springmill.control.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.springmill.sim.SimulatedCluster;

/** The queue position and the deadline of a job that waits for its dependencies. */
class WaitingJobTest {
    private static final String SLOW = "run-000001";
    private static final String QUICK = "run-000002";
    private static final String ACCEPTED_FIRST = "run-000003";
    private static final String ELIGIBLE_FIRST = "run-000004";
    private static final String OCCUPANT = "run-000005";

    private final SimulatedCluster cluster = new SimulatedCluster();

    @AfterEach
    void noInvariantIsBroken() {
        assertEquals(List.of(), cluster.violations());
    }

    private void submit(double runSeconds, ObjectNode job) {
        assertEquals(201, cluster.submit(0, job, runSeconds));
    }

    private static ObjectNode oneTaskJob(String id) {
        return SimulatedCluster.job(id, "blue", "sweep", 1, 1, 0);
    }

    private static ObjectNode wholeMachineJob(String id, String dependency, double dueSeconds) {
        ObjectNode job = SimulatedCluster.job(id, "blue", "sweep", 8, 1, 1);
        job.putArray("waitsOn").add(dependency);
        return dueSeconds < 0 ? job : job.put("dueS", dueSeconds);
    }

    /**
     * One job is accepted about 25 s before another and becomes eligible about 25 s after it; then
     * there is room for only one of them. A job's queue position depends on the time when its last
     * dependency ended, its deadline on the time of its submission.
     */
    @ParameterizedTest
    @CsvSource({
        "-1, -1, ELIGIBLE",
        "100, 90, ACCEPTED",
        "130, 90, ELIGIBLE",
    })
    void queuePositionCountsFromLastDependencyAndDeadlineFromSubmission(
            double firstDueSeconds, double secondDueSeconds, String winner) {
        cluster.machines("large", "a", 1).run(6);
        cluster.cloud().exhaustCapacity();
        submit(50, oneTaskJob(SLOW));
        submit(1, oneTaskJob(QUICK));
        submit(1e9, wholeMachineJob(ACCEPTED_FIRST, SLOW, firstDueSeconds));
        cluster.run(20);
        submit(45, SimulatedCluster.job(OCCUPANT, "blue", "sweep", 8, 1, 1));
        cluster.run(5);
        submit(1e9, wholeMachineJob(ELIGIBLE_FIRST, QUICK, secondDueSeconds));
        cluster.run(50);
        boolean accepted = cluster.running(ACCEPTED_FIRST) > 0;
        boolean eligible = cluster.running(ELIGIBLE_FIRST) > 0;
        assertTrue(accepted ^ eligible, "exactly one job runs: " + accepted + ", " + eligible);
        assertEquals(winner, accepted ? "ACCEPTED" : "ELIGIBLE");
    }
}
