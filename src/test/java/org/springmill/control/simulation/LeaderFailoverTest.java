package org.springmill.control.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.springmill.control.simulation.MessageMatchers.fromController;
import static org.springmill.control.simulation.MessageMatchers.isCommit;
import static org.springmill.control.simulation.MessageMatchers.isStartCommand;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.springmill.sim.SimNetwork.Delivery;
import org.springmill.sim.SimulatedCluster;

/** Leader crashes and controller restarts: a new leader takes over and starts nothing twice. */
class LeaderFailoverTest extends SingleFailureFixture {
    /** The moments around a start command at which the leader may crash. */
    enum CrashPoint {
        /** Between the commit of the allocation and the sending of the command. */
        BEFORE_SEND(Delivery.DROP),
        /** Between the sending of the command and its response. */
        BEFORE_ANSWER(Delivery.LOSE_RESPONSE),
        /** While the network delays the command; it arrives long after the crash. */
        COMMAND_DELAYED(Delivery.HOLD);

        private final Delivery fate;

        CrashPoint(Delivery fate) {
            this.fate = fate;
        }
    }

    @ParameterizedTest
    @EnumSource(CrashPoint.class)
    void leaderCrashDuringATaskStartStartsTheTaskExactlyOnce(CrashPoint crashPoint) {
        int leader = cluster.leader();
        cluster.network()
                .setDeliveryRule(
                        (from, request) -> {
                            if (fromController(from, leader) && isStartCommand(request)) {
                                cluster.clock().after(0.0001, () -> cluster.kill(leader));
                                return crashPoint.fate;
                            }
                            return Delivery.DELIVER;
                        });
        submitService(follower(), JOB, "red", 1, 1);
        cluster.run(30);
        assertEquals(1, cluster.running(JOB));
        cluster.network().releaseHeld();
        cluster.run(10);
        assertEquals(1, cluster.running(JOB));
        assertEquals(1, cluster.starts(FIRST_TASK));
        assertEquals("running", cluster.phase(follower(), JOB));
    }

    @Test
    void crashedLeaderIsReplacedBeforeItsLeadershipLeaseEnds() {
        int old = cluster.leader();
        cluster.kill(old);
        cluster.run(1.6);
        assertNotEquals(old, cluster.leader());
        assertNotEquals(-1, cluster.leader());
    }

    @Test
    void workerLeasesAreKeptWhileRestartedControllersHaveNoLeader() {
        submitService(0, JOB, "red", 4, 1);
        cluster.run(8);
        for (int i = 0; i < 3; i++) {
            cluster.kill(i);
        }
        cluster.run(9);
        boolean[] electionBlocked = {true};
        cluster.network()
                .setDeliveryRule(
                        (from, request) ->
                                electionBlocked[0] && isCommit(request)
                                        ? Delivery.REFUSE
                                        : Delivery.DELIVER);
        for (int i = 0; i < 3; i++) {
            cluster.restart(i);
        }
        cluster.run(10);
        electionBlocked[0] = false;
        cluster.run(15);
        assertEachTaskStartedOnce(JOB, 4);
        assertEquals(4, cluster.running(JOB));
    }

    @Test
    void rollingAndSimultaneousControllerRestartsRestartNoReplica() {
        submitService(0, JOB, "blue", 8, 1);
        cluster.submit(0, SimulatedCluster.job(OTHER, "blue", "sweep", 40, 1, 1), 6);
        for (int i = 0; i < 6; i++) {
            cluster.run(5);
            cluster.restart(i % 3);
        }
        cluster.run(5);
        for (int i = 0; i < 3; i++) {
            cluster.restart(i);
        }
        cluster.run(60);
        assertEquals(8, cluster.running(JOB));
        assertEquals("done", cluster.phase(1, OTHER));
        assertEachTaskStartedOnce(JOB, 8);
    }

    @Test
    void roundLogIsCompactedAndALargeJobCompletesAfterFailover() {
        cluster.submit(0, SimulatedCluster.job(JOB, "blue", "sweep", 2000, 1, 0), 1.5);
        cluster.run(60);
        cluster.kill(cluster.leader());
        cluster.run(120);
        assertTrue(
                cluster.keyValueStore().keysUnder("round/").size() < 60,
                "round keys: " + cluster.keyValueStore().keysUnder("round/").size());
        cluster.run(100);
        assertEquals("done", cluster.phase(follower(), JOB));
    }
}
