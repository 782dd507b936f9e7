package org.springmill.control.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.springmill.protocol.Settings;
import org.springmill.sim.SimOptions;
import org.springmill.sim.SimWorker;
import org.springmill.sim.SimulatedCluster;

/**
 * More than 4,000 machines, from an empty fleet: they are rented and filled, another leader takes
 * over, and half of them are lost with their zone. Guards against fixed limits below this size: all
 * tasks must run within a number of seconds of the virtual clock.
 */
class FourThousandMachinesTest extends ClusterFixture {
    private static final int SERVICES = 42;
    private static final int REPLICAS = 100;

    /** Each replica uses a whole machine except for two CPUs. */
    private static final int MACHINES = SERVICES * REPLICAS;

    private static final int CPUS_OF_REPLICA = 30;
    private static final String ARRAY = "run-900000";
    private static final String ARRAY_AFTER_TAKEOVER = "run-900001";

    /** Limits of a key-value store that is large enough for this fleet. */
    private static final Settings.StoreLimits STATE_LIMITS =
            new Settings.StoreLimits(1100, 550, 8192, 32);

    /** The cloud accepts four requests a second, each for fifty machines. */
    private static final double RENTAL_SECONDS = MACHINES / 200.0;

    private static final double BOOT_SECONDS = 20;
    private static final double LEASE_SECONDS = 14;

    @Test
    void aFleetIsRentedFilledTakenOverAndRebuiltAfterTheLossOfAZone() {
        cluster = new SimulatedCluster(SimOptions.DEFAULTS.withStoreLimits(STATE_LIMITS)).run(6);
        rentAllMachines();
        runArrayOverAllMachines(ARRAY, 20);
        killLeaderAndCheckThatNothingIsLost();
        runArrayOverAllMachines(ARRAY_AFTER_TAKEOVER, 20);
        loseZoneAndCheckThatItIsReplaced();
    }

    private void rentAllMachines() {
        for (int i = 0; i < SERVICES; i++) {
            var service =
                    SimulatedCluster.job(id(i), "blue", "service", REPLICAS, CPUS_OF_REPLICA, 0);
            assertEquals(201, cluster.submit(i % CONTROLLERS, service, FOREVER));
        }
        runUntilAllRun(2 * RENTAL_SECONDS + 2 * BOOT_SECONDS, "rented from an empty fleet");
        assertTrue(machines().size() <= MACHINES * 1.05, machines().size() + " machines");
    }

    private void runArrayOverAllMachines(String id, double seconds) {
        var array = SimulatedCluster.job(id, "blue", "sweep", MACHINES, 2, 0);
        assertEquals(201, cluster.submit(follower(), array, 2));
        double since = cluster.clock().now();
        while (!"done".equals(cluster.phase(follower(), id))) {
            cluster.run(0.5);
            double passed = cluster.clock().now() - since;
            assertTrue(passed <= seconds, id + " is not done after " + passed + " s");
        }
    }

    private void killLeaderAndCheckThatNothingIsLost() {
        int before = machines().size();
        int killed = cluster.leader();
        cluster.kill(killed);
        cluster.run(LEASE_SECONDS);
        assertTrue(cluster.leader() >= 0, "another controller leads");
        runUntilAllRun(1, "after the takeover");
        assertTrue(machines().size() >= before * 0.99, machines().size() + " of " + before);
        for (int i = 0; i < SERVICES; i++) {
            assertEquals(1, cluster.starts(id(i) + "/7"), "starts of " + id(i));
        }
        // No unreachable machine is declared lost because of its lease while a controller is down.
        cluster.restart(killed);
        cluster.run(LEASE_SECONDS);
    }

    private void loseZoneAndCheckThatItIsReplaced() {
        List<SimWorker> lost =
                machines().stream().filter(machine -> machine.zone().equals("b")).toList();
        assertTrue(lost.size() > MACHINES / 4, lost.size() + " machines in the zone");
        cluster.cloud().exhaustCapacity("b");
        lost.forEach(machine -> machine.setHung(true));
        double untilGone = 2 * LEASE_SECONDS;
        runUntilAllRunOutside(
                lost, untilGone + 2 * RENTAL_SECONDS + 2 * BOOT_SECONDS, "after the zone's loss");
    }

    private static String id(int service) {
        return String.format("run-%06d", service);
    }

    private void runUntilAllRun(double seconds, String when) {
        runUntilAllRunOutside(List.of(), seconds, when);
    }

    private void runUntilAllRunOutside(List<SimWorker> lost, double seconds, String when) {
        double since = cluster.clock().now();
        while (runningOutside(lost) < MACHINES) {
            cluster.run(0.5);
            double passed = cluster.clock().now() - since;
            assertTrue(
                    passed <= seconds,
                    when + ": " + runningOutside(lost) + " run after " + passed + " s");
        }
    }

    private int runningOutside(List<SimWorker> lost) {
        int running = 0;
        for (int i = 0; i < SERVICES; i++) {
            running += cluster.running(id(i));
        }
        return running - lost.stream().mapToInt(SimWorker::running).sum();
    }
}
