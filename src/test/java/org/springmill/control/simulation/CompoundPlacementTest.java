package org.springmill.control.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.springmill.sim.SimNetwork.Delivery;
import org.springmill.sim.SimWorker;
import org.springmill.sim.SimulatedCluster;

/** Overload, lost zones and team limits while something else fails. */
class CompoundPlacementTest extends CompoundFailureFixture {
    /**
     * Small jobs keep arriving, more than fit on the machines, and image fetches are slow: the
     * largest job must still start.
     */
    @ParameterizedTest
    @CsvSource({"normal, sweep", "best_effort, sweep", "urgent, sweep", "normal, service"})
    void largestJobStartsWithinFourMinutesDespiteOverload(String urgency, String shape) {
        startCluster(1);
        cluster.cloud().exhaustCapacity();
        cluster.setImageFetchSeconds(6);
        int n = 0;
        for (; n < 20; n++) {
            cluster.submit(
                    n % 3,
                    SimulatedCluster.job("run-00" + (2000 + n), "blue", "sweep", 6, 1, 1)
                            .put("urgency", urgency),
                    15 + n % 7);
        }
        accept(
                SimulatedCluster.job(JOB, "blue", shape, 1, 16, 8).put("urgency", urgency),
                shape.equals("sweep") ? 20 : FOREVER);
        for (int i = 0; i < 48 && cluster.starts(FIRST_TASK) == 0; i++) {
            cluster.submit(
                    n % 3,
                    SimulatedCluster.job("run-00" + (2000 + n++), "blue", "sweep", 7, 1, 1)
                            .put("urgency", urgency),
                    15 + n % 7);
            cluster.run(5);
        }
        assertEquals(1, cluster.starts(FIRST_TASK));
        cluster.cloud().restoreCapacity();
        cluster.run(150);
    }

    /** Machines for pending tasks are rented in the zone that the job is bound to. */
    @ParameterizedTest
    @CsvSource({
        "service, true, false, reclaimed",
        "sweep, true, false, reclaimed",
        "service, false, true, reclaimed",
        "sweep, false, true, reclaimed",
        "service, true, false, hung",
        "service, false, true, hung"
    })
    void jobsBoundToOneZoneRunAgainAfterLosingItsMachines(
            String shape, boolean zoneNamed, boolean sameZone, String how) {
        startCluster(1);
        ObjectNode job =
                SimulatedCluster.job(JOB, "blue", shape, 4, 1, 8).put("samePlace", sameZone);
        if (zoneNamed) {
            job.put("yard", "b");
        }
        accept(job, shape.equals("sweep") ? 60 : FOREVER);
        cluster.run(70);
        assertEquals(List.of(), cluster.jobsWithPendingTasks());
        String zone =
                cluster.workerRunning(FIRST_TASK) == null
                        ? "b"
                        : cluster.workerRunning(FIRST_TASK).zone();
        acceptService(OTHER, "red", 2, 4);
        for (SimWorker machine : machines()) {
            if (machine.zone().equals(zone)) {
                if (how.equals("reclaimed")) {
                    cluster.cloud().reclaim(machine);
                } else {
                    machine.setHung(true);
                }
            }
        }
        cluster.run(90);
        assertEquals(List.of(), cluster.jobsWithPendingTasks());
    }

    /**
     * A machine on which the job failed does not count as free capacity for that job, even before
     * other jobs have failed there.
     */
    @Test
    void jobCompletesWhenTheOnlyFreeMachineOfItsZoneIsFaulty() {
        startCluster(1);
        accept(SimulatedCluster.job(OTHER, "blue", "service", 1, 1, 8).put("yard", "b"), FOREVER);
        cluster.run(5);
        SimWorker healthy = cluster.workerRunning(OTHER + "/0");
        machines().stream()
                .filter(m -> m != healthy && m.zone().equals("b"))
                .forEach(SimWorker::failAllTasks);
        accept(SimulatedCluster.job(JOB, "blue", "sweep", 1, 1, 8).put("yard", "b"), 30);
        cluster.run(90);
        assertEquals("done", cluster.phase(0, JOB));
    }

    /**
     * The team is at its limit, some of its allocations are uncertain since their machines are
     * unreachable, and one of its jobs is cancelled meanwhile.
     */
    @ParameterizedTest
    @CsvSource({"1, false", "2, false", "1, true", "2, true"})
    void teamAtItsLimitGetsItsReplicasAfterFailoverWithUnreachableMachines(
            int unreachable, boolean hang) {
        startCluster(1);
        acceptService(JOB, "red", 8, 1);
        acceptService(OTHER, "red", 8, 1);
        cluster.run(8);
        Set<String> names = new HashSet<>();
        List<SimWorker> machines = machines().subList(0, unreachable);
        machines.forEach(
                machine -> {
                    names.add(machine.name());
                    names.add(machine.address());
                    machine.setHung(hang);
                });
        cluster.network()
                .setDeliveryRule(
                        (from, request) ->
                                names.contains(from) || names.contains(request.address())
                                        ? Delivery.DROP
                                        : Delivery.DELIVER);
        int leader = cluster.leader();
        cluster.kill(leader);
        cluster.run(3);
        acceptService("run-000003", "red", 8, 1);
        assertEquals("cancelled", cluster.cancel((leader + 1) % 3, OTHER));
        cluster.run(10);
        cluster.restart(leader);
        machines.forEach(machine -> machine.setHung(false));
        cluster.run(60);
        assertEquals(8, cluster.running(JOB));
        assertEquals(8, cluster.running("run-000003"));
    }
}
