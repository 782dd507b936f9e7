package org.springmill.control.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.junit.jupiter.api.Test;
import org.springmill.sim.SimulatedCluster;

/**
 * A team whose guarantee is 0 in the settings has none. Each machine of the cluster has 8 GPUs, 32
 * in all; the teams red and blue are guaranteed 8 each.
 */
class TeamWithoutGuaranteeTest extends ClusterFixture {
    private static final String GUEST = "guest";
    private static final int ALL_GPUS = 32;
    private static final int GUARANTEED_GPUS = 8;
    private static final double SETTLE_SECONDS = 20;

    private void startFullCluster() {
        startCluster(4);
        cluster.cloud().exhaustCapacity();
    }

    private static ObjectNode lowArray(String id, String team, int tasks) {
        return SimulatedCluster.job(id, team, "sweep", tasks, 1, 1).put("urgency", "best_effort");
    }

    /**
     * Guards against taking a guarantee of 0 for one without a bound: whatever the guest ran
     * counted as guaranteed to it, so that a team that was owed its guarantee waited.
     */
    @Test
    void teamGetsItsGuaranteeFromAGuestOfTheSamePriority() {
        startFullCluster();
        accept(lowArray(JOB, GUEST, ALL_GPUS), FOREVER);
        cluster.run(SETTLE_SECONDS);
        assertEquals(ALL_GPUS, cluster.running(JOB));

        accept(lowArray(OTHER, "red", GUARANTEED_GPUS), FOREVER);
        cluster.run(SETTLE_SECONDS);

        assertEquals(GUARANTEED_GPUS, cluster.running(OTHER));
        assertEquals(ALL_GPUS - GUARANTEED_GPUS, cluster.running(JOB));
    }

    /** Guards against the same mistake the other way round: a guest is owed nothing of others. */
    @Test
    void guestStopsNothingThatOthersRunAboveTheirGuarantee() {
        startFullCluster();
        accept(lowArray(JOB, "blue", ALL_GPUS), FOREVER);
        cluster.run(SETTLE_SECONDS);

        accept(lowArray(OTHER, GUEST, GUARANTEED_GPUS), FOREVER);
        cluster.run(SETTLE_SECONDS);

        assertEquals(ALL_GPUS, cluster.running(JOB));
        assertEquals(0, cluster.running(OTHER));
    }

    /** Guards against serving a guest first among equals, as if its work were guaranteed. */
    @Test
    void guestWaitsBehindGuaranteedWorkAcrossAChangeOfLeader() {
        startFullCluster();
        accept(lowArray("run-000003", "blue", ALL_GPUS), SETTLE_SECONDS);
        accept(lowArray(JOB, GUEST, ALL_GPUS), FOREVER);
        accept(lowArray(OTHER, "red", GUARANTEED_GPUS), FOREVER);
        cluster.kill(cluster.leader());
        cluster.run(4 * SETTLE_SECONDS);

        assertEquals(GUARANTEED_GPUS, cluster.running(OTHER));
        assertEquals(ALL_GPUS - GUARANTEED_GPUS, cluster.running(JOB));
    }
}
