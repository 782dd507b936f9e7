package org.springmill.control.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.junit.jupiter.api.Test;
import org.springmill.sim.SimulatedCluster;

/** Which of several machines that hold a job's image runs it. */
class ImageHolderPlacementTest extends ClusterFixture {
    private static final String IMAGE = "img-31";

    /** A service of one task in the first zone. */
    private String replica(String id, double gpus) {
        ObjectNode job = SimulatedCluster.job(id, "blue", "service", 1, 1, gpus);
        accept(job.put("yard", "a").put("mould", IMAGE), FOREVER);
        cluster.run(5);
        return cluster.workerRunning(id + "/0").name();
    }

    /**
     * Guards against placing small tasks on the less used of two machines that hold the image:
     * neither machine would ever become idle and be returned. The less used machine has room for
     * the largest replica before and after, so free room for large tasks does not decide.
     */
    @Test
    void fullestHolderOfTheImageIsUsedFirst() {
        startCluster(1);
        String first = replica("run-000011", 2);
        assertEquals(first, replica("run-000012", 6));
        String second = replica("run-000013", 5);
        assertNotEquals(first, second);
        assertEquals("cancelled", cluster.cancel(follower(), "run-000012"));
        cluster.run(5);
        assertEquals(second, replica("run-000014", 1));
    }
}
