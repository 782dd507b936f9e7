package org.springmill.control.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.springmill.control.simulation.MessageMatchers.isCommand;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.springmill.sim.SimNetwork.Delivery;
import org.springmill.sim.SimulatedCluster;

/** Cancellations take effect in time and are final. */
class CancellationTest extends SingleFailureFixture {
    @ParameterizedTest
    @ValueSource(doubles = {0, 0.05, 0.5, 3})
    void cancelledJobEndsInTimeWhenCommandsDoNotReachItsWorkers(double delaySeconds) {
        submitService(0, JOB, "red", 3, 1);
        cluster.run(delaySeconds);

        cluster.network()
                .setDeliveryRule(
                        (from, request) -> isCommand(request) ? Delivery.HOLD : Delivery.DELIVER);
        assertEquals("cancelled", cluster.cancel(1, JOB));
        assertEquals("cancelled", cluster.cancel(2, JOB));
        cluster.run(50);
        assertEquals(0, cluster.running(JOB));
        cluster.network().releaseHeld();
        cluster.run(10);
        assertEquals(0, cluster.running(JOB));
        assertEquals("cancelled", cluster.phase(0, JOB));
    }

    @Test
    void cancellationRacingWithCompletionYieldsOneFinalPhaseEverywhere() {
        for (int i = 0; i < 12; i++) {
            String id = String.format("run-%06d", 100 + i);
            cluster.submit(i % 3, SimulatedCluster.job(id, "red", "sweep", 1, 1, 0), 2);
            cluster.run(2.7 + 0.1 * i);
            String phase = cluster.cancel((i + 1) % 3, id);
            assertTrue(phase.equals("done") || phase.equals("cancelled"), phase);
            cluster.run(5);
            for (int node = 0; node < 3; node++) {
                assertEquals(phase, cluster.phase(node, id));
            }
        }
    }
}
