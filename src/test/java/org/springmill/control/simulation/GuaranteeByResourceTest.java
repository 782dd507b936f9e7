package org.springmill.control.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;
import org.springmill.sim.SimulatedCluster;

/** Guarantees hold for each resource separately, also without recalls. */
class GuaranteeByResourceTest extends SingleFailureFixture {
    /**
     * Guards against a team losing guaranteed GPUs because it uses more CPUs than it is guaranteed.
     */
    @Test
    void teamWithCpusToSpareKeepsTheGpusThatItIsGuaranteed() {
        cluster.cloud().exhaustCapacity();
        submitService(0, JOB, "blue", 24, 1);
        submitService(0, OTHER, "amber", 8, 1);
        submitService(0, "run-000003", "amber", 20, 0);
        cluster.run(8);
        assertEquals(8, cluster.running(OTHER));
        assertEquals(20, cluster.running("run-000003"));
        cluster.submit(0, SimulatedCluster.job("run-000004", "red", "service", 8, 1, 1), FOREVER);
        cluster.run(20);
        assertEquals(8, cluster.running("run-000004"), "from blue's loans");
        assertEquals(8, cluster.running(OTHER), "amber's guarantee");
        assertEquals(16, cluster.running(JOB));
    }
}
