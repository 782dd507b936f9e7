package org.springmill.control.coordination;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.springmill.sim.SimNetwork.Fate;
import org.springmill.sim.SimWorker;
import org.springmill.sim.SimulatedCluster;

/**
 * The state service refuses the leader alone, other controllers confirm cancellations, and then it
 * is down for all for longer than users have to wait for them, while workers go on reporting.
 */
class IsolatedLeaderCancellationTest {
    private static final String JOB = "run-000001";
    private static final String OTHER = "run-000002";

    private SimulatedCluster cluster;
    private int leader;

    @BeforeEach
    void fourMachinesRunTwoJobs() {
        cluster = new SimulatedCluster().machines("large", "a", 2).machines("large", "b", 2).run(6);
        assertEquals(
                201,
                cluster.submit(
                        0,
                        SimulatedCluster.job(JOB, "blue", "service", 4, 1, 4),
                        Double.POSITIVE_INFINITY));
        assertEquals(
                201,
                cluster.submit(
                        1,
                        SimulatedCluster.job(OTHER, "blue", "service", 4, 1, 4),
                        Double.POSITIVE_INFINITY));
        cluster.run(8);
        assertEquals(8, cluster.running(JOB) + cluster.running(OTHER));
        leader = cluster.leader();
        assertNotEquals(-1, leader);
    }

    @AfterEach
    void noRuleIsBroken() {
        assertEquals(List.of(), cluster.broken());
    }

    /**
     * @param peersCutForS how long the leader loses the other controllers, too
     * @param crash who crashes 6 s into the outage
     * @param kept whether the other job's replicas go through it all: not where a controller that
     *     has forgotten what it confirmed, or one that cannot be heard, leaves it open for longer
     *     than users wait what else was cancelled
     */
    @ParameterizedTest
    @CsvSource({
        "0,  none,      true",
        "0,  confirmer, true",
        "0, leader, true",
        "0, all, false",
        "20, none,      true",
        "20, confirmer, false",
        "90, none,     false",
        "90, confirmer, false",
        "90, all, false",
    })
    void whatOthersConfirmedIsGoneInTime(double peersCutForS, String crash, boolean kept) {
        cluster.state().refuse(leader, true);
        cluster.cutPeers(leader, peersCutForS > 0);
        cluster.run(1);
        int confirmer = (leader + 1) % 3;
        assertEquals("cancelled", cluster.withdraw(confirmer, JOB));
        cluster.state().setDown(true);
        cluster.run(6);
        for (int i = 0; i < 3; i++) {
            if (crash.equals("all")
                    || (crash.equals("confirmer") && i == confirmer)
                    || (crash.equals("leader") && i == leader)) {
                cluster.restart(i);
            }
        }
        cluster.run(Math.min(peersCutForS, 40));
        if (peersCutForS < 40) {
            cluster.cutPeers(leader, false);
        }
        cluster.run(46 - Math.min(peersCutForS, 40));
        assertEquals(0, cluster.running(JOB));
        cluster.cutPeers(leader, false);
        cluster.state().refuse(leader, false);
        cluster.state().setDown(false);
        cluster.run(60);
        assertEquals(4, cluster.running(OTHER));
        for (int i = 0; kept && i < 4; i++) {
            assertEquals(1, cluster.starts(OTHER + "/" + i), "task " + i);
        }
        for (int i = 0; i < 3; i++) {
            assertEquals("cancelled", cluster.phase(i, JOB));
        }
    }

    /** An old cancellation among many: what is told in parts arrives whole. */
    @Test
    void whateverIsCancelledMeanwhileIsToldInParts() {
        cluster.state().refuse(leader, true);
        cluster.cutPeers(leader, true);
        int other = (leader + 1) % 3;
        for (int i = 0; i < 130; i++) {
            String id = String.format("run-%06d", 1000 + i);
            assertEquals(
                    201,
                    cluster.submit(other, SimulatedCluster.job(id, "red", "sweep", 1, 1, 0), 1));
            assertEquals("cancelled", cluster.withdraw(other, id));
        }
        assertEquals("cancelled", cluster.withdraw(other, JOB));
        cluster.state().setDown(true);
        cluster.run(1);
        cluster.cutPeers(leader, false);
        cluster.run(4);
        assertEquals(0, cluster.running(JOB));
        cluster.run(50);
        assertEquals(4, cluster.running(OTHER));
    }

    /**
     * A leader that only its workers and users still reach, with one of them deaf: the cancelled
     * task goes with the machine, for the leader knows where it is though it is not sure of its
     * lease.
     */
    @Test
    void aLeaderInDoubtRemovesWhatItCannotStop() {
        SimWorker victim = cluster.holder(JOB + "/0");
        cluster.state().setDown(true);
        cluster.run(5);
        cluster.state().setDown(false);
        cluster.state().refuse(leader, true);
        assertEquals("cancelled", cluster.withdraw((leader + 1) % 3, JOB));
        cluster.state().setDown(true);
        cluster.network()
                .judge(
                        (from, request) ->
                                request.address().equals(victim.address())
                                        ? Fate.DROP
                                        : Fate.DELIVER);
        cluster.run(43);
        assertEquals(0, cluster.running(JOB));
    }
}
