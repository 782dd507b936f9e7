package org.springmill.control.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.springmill.control.simulation.MessageMatchers.fromController;
import static org.springmill.control.simulation.MessageMatchers.isCommit;
import static org.springmill.control.simulation.MessageMatchers.isStartCommand;
import static org.springmill.control.simulation.MessageMatchers.text;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.springmill.sim.SimNetwork.Delivery;
import org.springmill.sim.SimWorker;
import org.springmill.sim.SimulatedCluster;
import org.springmill.transport.HttpClient.Request;

/** Commands, reports and transactions that are delayed, duplicated or whose response is lost. */
class DelayedMessageTest extends SingleFailureFixture {
    @ParameterizedTest
    @EnumSource(
            value = Delivery.class,
            names = {"LOSE_RESPONSE", "HOLD", "DROP", "REFUSE"})
    void startCommandWithUnknownOutcomeLeavesOneTaskRunning(Delivery fate) {
        boolean[] once = new boolean[1];
        cluster.network()
                .setDeliveryRule(
                        (from, request) -> {
                            if (isStartCommand(request) && !once[0]) {
                                once[0] = true;
                                return fate;
                            }
                            return Delivery.DELIVER;
                        });
        submitService(0, JOB, "red", 1, 1);
        cluster.run(40);
        assertEquals(1, cluster.running(JOB));
        cluster.network().releaseHeld();
        cluster.run(5);
        assertEquals(1, cluster.running(JOB));
    }

    @Test
    void startDelayedPastTheClearOfItsTaskDoesNothing() {
        List<Request> seen = recordDelivered(MessageMatchers::isStartCommand);
        cluster.submit(0, SimulatedCluster.job(JOB, "red", "sweep", 1, 1, 1), 3);
        cluster.run(10);
        assertEquals("done", cluster.phase(0, JOB));
        seen.forEach(cluster.network()::deliverAgain);
        // The start must be refused, not begun and halted while its image is fetched.
        assertTrue(
                cluster.cloud().machines().values().stream()
                        .noneMatch(machine -> machine.hasTask(FIRST_TASK)));
        cluster.run(10);
        assertEquals(1, cluster.starts(FIRST_TASK));
    }

    @Test
    void delayedReportCopiesNeitherRenewALeaseNorProveThatTasksRun() {
        submitService(0, JOB, "red", 2, 1);
        List<Request> copies = recordDelivered(MessageMatchers::isReport);
        cluster.run(10);
        SimWorker victim = cluster.workerRunning(FIRST_TASK);
        victim.setHung(true);
        // Copies of its earlier reports keep arriving; its task still has to be declared lost after
        // one lease.
        for (int i = 0; i < 40; i++) {
            copies.stream()
                    .filter(r -> text(r).contains(victim.name()))
                    .limit(3)
                    .forEach(cluster.network()::deliverAgain);
            cluster.run(1);
        }
        assertEquals(
                2,
                cluster.cloud().machines().values().stream()
                        .filter(m -> m != victim)
                        .mapToInt(SimWorker::running)
                        .sum());
    }

    /**
     * Otherwise work would be placed on the deleted machine and wait until it is declared lost
     * again.
     */
    @Test
    void delayedReportCopiesDoNotReviveDeletedMachines() {
        List<Request> copies = recordDelivered(MessageMatchers::isReport);
        cluster.run(5);
        List<Request> old = List.copyOf(copies);
        cluster.cloud().exhaustCapacity();
        for (int i = 0; i < 60 && !cluster.cloud().machines().isEmpty(); i++) {
            cluster.run(5);
        }
        assertEquals(0, cluster.cloud().machines().size(), "idle machines are returned");
        old.forEach(cluster.network()::deliverAgain);
        assertEquals(
                201,
                cluster.submit(0, SimulatedCluster.job(JOB, "red", "service", 1, 1, 1), FOREVER));
        cluster.run(3);
        assertEquals(
                0,
                cluster.keyValueStore().keysUnder("round/").size(),
                "nothing is placed while there is no machine");
    }

    @Test
    void delayedWriteOfAFormerLeaderChangesNothing() {
        int old = cluster.leader();
        boolean[] hold = {true};
        cluster.network()
                .setDeliveryRule(
                        (from, request) ->
                                hold[0]
                                                && fromController(from, old)
                                                && isCommit(request)
                                                && text(request).contains("round/")
                                        ? Delivery.HOLD
                                        : Delivery.DELIVER);
        submitService(follower(), JOB, "red", 2, 1);
        cluster.run(1);
        assertEquals(0, cluster.running(JOB));
        cluster.kill(old);
        hold[0] = false;
        cluster.run(20);
        assertEquals(2, cluster.running(JOB));
        List<String> before = cluster.keyValueStore().keysUnder("round/");
        cluster.network().releaseHeld();
        assertEquals(before, cluster.keyValueStore().keysUnder("round/"));
        cluster.restart(old);
        cluster.kill(cluster.leader());
        cluster.run(20);
        assertEquals(2, cluster.running(JOB));
        assertEquals(1, cluster.starts(FIRST_TASK));
    }

    @Test
    void commitsWithLostResponsesAreNeitherLostNorDuplicated() {
        int[] lost = new int[1];
        cluster.network()
                .setDeliveryRule(
                        (from, request) ->
                                isCommit(request) && ++lost[0] % 2 == 1
                                        ? Delivery.LOSE_RESPONSE
                                        : Delivery.DELIVER);
        for (int i = 0; i < 6; i++) {
            int status = 503;
            for (int tries = 0; tries < 5 && status == 503; tries++) {
                status =
                        cluster.submit(
                                i % 3,
                                SimulatedCluster.job("run-00020" + i, "blue", "sweep", 2, 1, 0),
                                2);
            }
            assertTrue(status == 201 || status == 200, "status " + status);
        }
        cluster.run(20);
        for (int i = 0; i < 6; i++) {
            assertEquals("done", cluster.phase(i % 3, "run-00020" + i));
            assertEquals(1, cluster.starts("run-00020" + i + "/0"));
        }
    }
}
