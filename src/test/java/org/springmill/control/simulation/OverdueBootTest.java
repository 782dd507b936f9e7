package org.springmill.control.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.springmill.sim.SimulatedCluster;

/**
 * New machines that boot late, never or very quickly. The cluster has four machines with 8 GPUs;
 * the nominal boot time is 20 s, and a machine that is not up after 3.5 times as long is returned.
 */
class OverdueBootTest extends ClusterFixture {
    private static final double BOOT_SECONDS = 20;
    private static final int MACHINES = 4;
    private static final int GPUS = 8;

    @BeforeEach
    void start() {
        startCluster(21);
        acceptService("run-000010", "blue", MACHINES, GPUS);
        cluster.run(10);
        assertEquals(MACHINES, cluster.running("run-000010"));
    }

    private void setBootSeconds(double seconds) {
        cluster.cloud().setBootSeconds("a", seconds);
        cluster.cloud().setBootSeconds("b", seconds);
    }

    /**
     * Guards against renting a replacement only when the overdue machine is given up, and against
     * keeping the overdue machine once the replacement runs the job.
     */
    @Test
    void machineThatNeverBootsIsReplacedAndReturned() {
        setBootSeconds(FOREVER);
        acceptService(JOB, "blue", 1, GPUS);
        cluster.run(5);
        assertEquals(MACHINES + 1, cluster.cloud().everRented());
        setBootSeconds(BOOT_SECONDS);

        cluster.run(1.6 * BOOT_SECONDS + BOOT_SECONDS + 8);

        assertEquals(1, cluster.running(JOB));
        cluster.run(5);
        assertEquals(MACHINES + 1, machines().size(), "the overdue machine was returned");
        assertEquals(MACHINES + 2, cluster.cloud().everRented());
    }

    /** Guards against renting a replacement for every machine when all machines boot slowly. */
    @Test
    void slowBootOfAllMachinesCausesFewReplacements() {
        setBootSeconds(4 * BOOT_SECONDS);
        int machinesNeeded = 8;
        acceptService(JOB, "blue", 2, GPUS);
        acceptService(OTHER, "blue", 1, GPUS);
        for (int i = 0; i < machinesNeeded - 3; i++) {
            cluster.submit(follower(), lowPriority("run-00020" + i), 60);
        }
        cluster.run(4 * BOOT_SECONDS + 15);

        assertEquals(2, cluster.running(JOB));
        assertEquals(1, cluster.running(OTHER));
        int surplus = cluster.cloud().everRented() - MACHINES - machinesNeeded;
        assertTrue(
                surplus <= 1 + machinesNeeded / 4, surplus + " more machines rented than needed");
        assertEachTaskStartedOnce(JOB, 2);
    }

    private static ObjectNode lowPriority(String id) {
        return SimulatedCluster.job(id, "blue", "sweep", 1, 1, GPUS);
    }

    /** Guards against a new leader that rents machines again or places tasks twice. */
    @Test
    void newLeaderRentsNothingTwiceWhileMachinesAreLate() {
        setBootSeconds(3 * BOOT_SECONDS);
        acceptService(JOB, "blue", 3, GPUS);
        cluster.run(25);
        assertEquals(MACHINES + 3, cluster.cloud().everRented());
        cluster.kill(cluster.leader());
        cluster.run(3 * BOOT_SECONDS);

        assertEquals(3, cluster.running(JOB));
        assertTrue(
                cluster.cloud().everRented() <= MACHINES + 3 + 1,
                "more than one machine rented in addition");
        assertEachTaskStartedOnce(JOB, 3);
    }

    /**
     * If machines of a type do not boot in one zone, they are rented in the other zone; the first
     * zone is used again later.
     */
    @Test
    void zoneWhereMachinesDoNotBootIsReplacedByTheOther() {
        cluster.cloud().setBootSeconds("a", FOREVER);
        acceptService(JOB, "blue", 3, GPUS);
        cluster.run(1.6 * BOOT_SECONDS + BOOT_SECONDS + 10);
        assertEquals(3, cluster.running(JOB));

        cluster.cloud().setBootSeconds("a", BOOT_SECONDS);
        cluster.cloud().exhaustCapacity("b");
        acceptService(OTHER, "blue", 1, GPUS);
        cluster.run(3 * BOOT_SECONDS);
        assertEquals(1, cluster.running(OTHER), "the zone is used again once machines boot there");
    }

    /** Machines that boot in a twentieth of the nominal time are used without delay. */
    @Test
    void machinesThatBootQuicklyAreUsedImmediately() {
        setBootSeconds(BOOT_SECONDS / 20);
        cluster.cloud().freezeMachineList();
        acceptService(JOB, "blue", 3, GPUS);
        cluster.run(8);
        assertEquals(3, cluster.running(JOB));
        assertEquals(MACHINES + 3, cluster.cloud().everRented());
        assertEachTaskStartedOnce(JOB, 3);
    }
}
