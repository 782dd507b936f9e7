package org.springmill.control.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.springmill.control.simulation.MessageMatchers.fromWorker;
import static org.springmill.control.simulation.MessageMatchers.isCommand;
import static org.springmill.control.simulation.MessageMatchers.isCommit;
import static org.springmill.control.simulation.MessageMatchers.text;

import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.springmill.sim.SimNetwork.Delivery;
import org.springmill.sim.SimWorker;
import org.springmill.sim.SimulatedCluster;

/** Transactions, reports and commands are delayed while something else fails. */
class CompoundDelayTest extends CompoundFailureFixture {
    /**
     * The first copy of a round's transaction arrives after the second has been applied and the
     * round has been compacted.
     */
    @Test
    void transactionAppliedAfterCompactionOfItsRoundRevivesNoAllocation() {
        startCluster(1);
        int leader = cluster.leader();
        boolean[] once = new boolean[1];
        String[] key = new String[1];
        cluster.network()
                .setDeliveryRule(
                        (from, request) -> {
                            if (isCommit(request)
                                    && text(request).contains(JOB + "\",0")
                                    && !once[0]) {
                                once[0] = true;
                                key[0] = text(request).replaceAll("(?s).*?(round/[0-9.]+).*", "$1");
                                return Delivery.HOLD;
                            }
                            return Delivery.DELIVER;
                        });
        acceptService(JOB, "blue", 1, 1);
        cluster.run(5);
        assertEquals(1, cluster.running(JOB));
        SimWorker first = cluster.workerRunning(FIRST_TASK);
        first.givePreemptionNotice(600);
        cluster.run(5);
        assertNotEquals(first, cluster.workerRunning(FIRST_TASK));
        for (int i = 0;
                i < 80
                        && cluster.keyValueStore().value(key[0]) != null
                        && !cluster.keyValueStore().value(key[0]).path("claims").isEmpty();
                i++) {
            accept(SimulatedCluster.job("run-0005" + (10 + i), "blue", "sweep", 4, 1, 1), 1);
            cluster.run(3);
        }
        assertEquals(leader, cluster.leader(), "the same term");
        cluster.network().releaseHeld();
        cluster.kill(leader);
        cluster.run(20);
        assertEquals(2, cluster.starts(FIRST_TASK));
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6})
    void delayedTransactionsAndAFailoverBreakNoInvariant(long seed) {
        startCluster(seed);
        acceptService(JOB, "red", 4, 1);
        cluster.keyValueStore().delayCommits(0.3);
        submitAndCancelJobs(60, new SplittableRandom(seed));
        cluster.restart(cluster.leader() < 0 ? 0 : cluster.leader());
        submitAndCancelJobs(30, new SplittableRandom(seed + 100));
    }

    /**
     * The election record of a candidate is written late, with a lease that the candidate no longer
     * renews.
     */
    @ParameterizedTest
    @ValueSource(doubles = {1.2, 1.6, 2, 2.4, 2.7, 4})
    void delayedElectionWriteDoesNotPreventALeader(double delaySeconds) {
        startCluster(1);
        acceptService(JOB, "red", 4, 1);
        cluster.run(5);
        boolean[] hold = {true};
        cluster.network()
                .setDeliveryRule(
                        (from, request) ->
                                hold[0]
                                                && isCommit(request)
                                                && text(request).contains("incarnation")
                                        ? Delivery.HOLD
                                        : Delivery.DELIVER);
        int old = cluster.leader();
        cluster.kill(old);
        for (int i = 0; i < 200 && !cluster.network().hasHeldRequests(); i++) {
            cluster.run(0.05);
        }
        cluster.run(delaySeconds - 0.3);
        hold[0] = false;
        cluster.run(0.3);
        cluster.network().releaseHeld();
        cluster.run(10);
        assertNotEquals(-1, cluster.leader());
        cluster.kill(cluster.leader());
        cluster.restart(old);
        cluster.run(10);
        assertEquals(1, cluster.starts(FIRST_TASK));
        accept(SimulatedCluster.job(OTHER, "red", "sweep", 2, 1, 1), 2);
    }

    /**
     * Reports arrive after newer ones, also those of an earlier session or attempt, at old and new
     * leaders.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void delayedReportsOfHungMachinesAndRestartsBreakNoInvariant(long seed) {
        startCluster(seed);
        SplittableRandom random = new SplittableRandom(seed);
        acceptService(JOB, "red", 6, 1);
        cluster.network().duplicateHeartbeats(0.6);
        for (int i = 0; i < 3; i++) {
            submitAndCancelJobs(15, random);
            SimWorker hung = machines().get(random.nextInt(machines().size()));
            hung.setHung(true);
            cluster.run(3 + random.nextInt(20));
            cluster.restart(Math.max(0, cluster.leader()));
            hung.setHung(false);
            submitAndCancelJobs(10, random);
        }
    }

    /** The report reaches the new leader only after it has acted without the report. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void reportDelayedUntilTheNextLeaderHasActedBreaksNoInvariant(boolean machineLives) {
        startCluster(1);
        acceptService(JOB, "red", 4, 1);
        cluster.run(6);
        int old = cluster.leader();
        SimWorker victim = cluster.workerRunning(FIRST_TASK);
        int next = (old + 1) % 3;
        cluster.kill((old + 2) % 3);
        cluster.network()
                .setDeliveryRule(
                        (from, request) ->
                                from.equals(victim.name())
                                                || request.address().equals(victim.address())
                                        ? request.address().startsWith("10.0.0." + next)
                                                ? Delivery.HOLD
                                                : Delivery.DROP
                                        : Delivery.DELIVER);
        cluster.run(1);
        cluster.kill(old);
        cluster.run(12);
        assertEquals(next, cluster.leader());
        cluster.restart(old);
        cluster.restart((old + 2) % 3);
        cluster.run(machineLives ? 1 : 30);
        if (!machineLives) {
            cluster.cloud().reclaim(victim);
        }
        deliverAllMessages();
        cluster.network().releaseHeld();
        accept(SimulatedCluster.job(OTHER, "red", "sweep", 3, 1, 2), 2);
    }

    /** Commands, or their responses, are delayed by seconds while the machine continues to work. */
    @ParameterizedTest
    @CsvSource({"1, true", "2, true", "3, true", "1, false", "2, false"})
    void delayedCommandsOrResponsesBreakNoInvariant(long seed, boolean commands) {
        startCluster(seed);
        SplittableRandom random = new SplittableRandom(seed);
        acceptService(JOB, "red", 4, 1);
        if (commands) {
            cluster.network()
                    .delayRequests(
                            (from, request) ->
                                    isCommand(request) && random.nextInt(3) == 0
                                            ? random.nextDouble() * 9
                                            : 0);
        } else {
            cluster.network()
                    .delayResponses(
                            (from, request) ->
                                    (isCommand(request) && random.nextInt(3) == 0)
                                                    || (fromWorker(from) && random.nextInt(5) == 0)
                                            ? random.nextDouble() * 9
                                            : 0);
        }
        submitAndCancelJobs(40, random);
        cluster.restart(Math.max(0, cluster.leader()));
        submitAndCancelJobs(20, random);
    }
}
