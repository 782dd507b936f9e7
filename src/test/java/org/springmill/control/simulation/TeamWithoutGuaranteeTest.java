package org.springmill.control.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.junit.jupiter.api.Test;
import org.springmill.sim.SimulatedCluster;

/**
 * A guarantee of 0 in the settings means that the team has no guarantee. The cluster has four
 * machines with 8 GPUs each; the teams red and blue are guaranteed 8 GPUs each.
 */
class TeamWithoutGuaranteeTest extends ClusterFixture {
    private static final String TEAM_WITHOUT_GUARANTEE = "guest";
    private static final int ALL_GPUS = 32;
    private static final int GUARANTEED_GPUS = 8;
    private static final double SETTLE_SECONDS = 20;

    private void startFullCluster() {
        startCluster(4);
        cluster.cloud().exhaustCapacity();
    }

    private static ObjectNode bestEffortArray(String id, String team, int tasks) {
        return SimulatedCluster.job(id, team, "sweep", tasks, 1, 1).put("urgency", "best_effort");
    }

    /**
     * Guards against reading a guarantee of 0 as an unlimited one: everything that the team without
     * a guarantee ran counted as guaranteed, and a team below its guarantee had to wait.
     */
    @Test
    void teamGetsItsGuaranteeFromATeamWithoutOneAtTheSamePriority() {
        startFullCluster();
        accept(bestEffortArray(JOB, TEAM_WITHOUT_GUARANTEE, ALL_GPUS), FOREVER);
        cluster.run(SETTLE_SECONDS);
        assertEquals(ALL_GPUS, cluster.running(JOB));

        accept(bestEffortArray(OTHER, "red", GUARANTEED_GPUS), FOREVER);
        cluster.run(SETTLE_SECONDS);

        assertEquals(GUARANTEED_GPUS, cluster.running(OTHER));
        assertEquals(ALL_GPUS - GUARANTEED_GPUS, cluster.running(JOB));
    }

    /** Guards against preemption on behalf of a team without a guarantee. */
    @Test
    void teamWithoutGuaranteePreemptsNothing() {
        startFullCluster();
        accept(bestEffortArray(JOB, "blue", ALL_GPUS), FOREVER);
        cluster.run(SETTLE_SECONDS);

        accept(bestEffortArray(OTHER, TEAM_WITHOUT_GUARANTEE, GUARANTEED_GPUS), FOREVER);
        cluster.run(SETTLE_SECONDS);

        assertEquals(ALL_GPUS, cluster.running(JOB));
        assertEquals(0, cluster.running(OTHER));
    }

    /**
     * Guards against placing work of a team without a guarantee before guaranteed work of the same
     * priority.
     */
    @Test
    void unguaranteedWorkWaitsBehindGuaranteedWorkAcrossAChangeOfLeader() {
        startFullCluster();
        accept(bestEffortArray("run-000003", "blue", ALL_GPUS), SETTLE_SECONDS);
        accept(bestEffortArray(JOB, TEAM_WITHOUT_GUARANTEE, ALL_GPUS), FOREVER);
        accept(bestEffortArray(OTHER, "red", GUARANTEED_GPUS), FOREVER);
        cluster.kill(cluster.leader());
        cluster.run(4 * SETTLE_SECONDS);

        assertEquals(GUARANTEED_GPUS, cluster.running(OTHER));
        assertEquals(ALL_GPUS - GUARANTEED_GPUS, cluster.running(JOB));
    }
}
