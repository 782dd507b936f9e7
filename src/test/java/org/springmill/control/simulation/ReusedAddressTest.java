package org.springmill.control.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.springmill.sim.SimWorker;
import org.springmill.sim.SimulatedCluster;
import org.springmill.transport.HttpClient.Request;

/** A new machine has the address of one that is gone, and a copy of a command to that arrives. */
class ReusedAddressTest extends ClusterFixture {
    private static final int SHORT_JOBS = 6;

    /**
     * Guards against ran_twice: the new machine obeyed tokens of the one before it, which were
     * above its own.
     */
    @Test
    void aCopiedStartForAnEarlierMachineStartsNothing() {
        startCluster(1);
        cluster.cloud().reuseAddresses();
        cluster.setImageFetchSeconds(0.1);
        List<Request> starts = recordDelivered(MessageMatchers::isStartCommand);
        for (int number = 0; number < SHORT_JOBS; number++) {
            String id = String.format("run-00010%d", number);
            accept(SimulatedCluster.job(id, "blue", "sweep", 8, 2, 0), 1);
            cluster.run(4);
        }
        acceptService(JOB, "blue", 1, 1);
        cluster.run(4);
        SimWorker gone = cluster.workerRunning(FIRST_TASK);
        cluster.cloud().reclaim(gone);
        SimWorker successor = cluster.addMachine("large", gone.zone(), 0.5);
        assertEquals(gone.address(), successor.address());
        cluster.run(40);
        assertEquals(1, cluster.running(JOB));
        assertTrue(successor.up());
        assertFalse(successor.hasSeenNoToken());
        assertFalse(successor.hasTask(FIRST_TASK));
        starts.stream()
                .filter(start -> start.address().equals(gone.address()))
                .filter(start -> MessageMatchers.text(start).contains(FIRST_TASK))
                .limit(1)
                .toList()
                .forEach(cluster.network()::deliverAgain);
        cluster.run(5);
        assertEquals(2, cluster.starts(FIRST_TASK));
    }
}
