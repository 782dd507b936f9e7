package org.springmill.control.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.springmill.control.simulation.MessageMatchers.fromController;
import static org.springmill.control.simulation.MessageMatchers.isCommand;
import static org.springmill.control.simulation.MessageMatchers.isCommit;
import static org.springmill.control.simulation.MessageMatchers.isStartCommand;
import static org.springmill.control.simulation.MessageMatchers.text;
import static org.springmill.control.simulation.MessageMatchers.toKeyValueStore;

import java.util.Optional;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.springmill.protocol.OperatorSettings;
import org.springmill.sim.SimNetwork.Delivery;
import org.springmill.sim.SimWorker;
import org.springmill.transport.HttpClient.Request;

/**
 * Recalls while controllers, the key-value store and machines fail. Fine-tuning jobs of teams red
 * and blue fill the fleet, 16 tasks each, of which 8 each run on borrowed resources. Then team
 * amber submits 8 replicas within its guarantee. In the end these run, and the stopped tasks resume
 * from their checkpoints.
 */
class BorrowingFailureTest extends BorrowingFixture {
    private static final int REPLICAS = 8;
    private static final int GPUS = 32;
    private static final double WORK_SECONDS = 70;
    private static final double LEASE_SECONDS = 14;

    /** Steps of a recall, by the first message of each. */
    private enum Step {
        COMMIT,
        HALT,
        CLAIM,
        START;

        private boolean isStartedBy(Request request) {
            return switch (this) {
                case COMMIT -> isCommit(request) && text(request).contains("recall/");
                case HALT -> isCommand(request) && text(request).contains("\"halt\"");
                case CLAIM -> isCommit(request) && text(request).contains("[\"" + SERVING + "\"");
                case START -> isStartCommand(request) && text(request).contains(SERVING);
            };
        }
    }

    /** How the leader fails. */
    private enum Failure {
        KILLED,
        PAUSED
    }

    private void startWithFullFleet(long seed) {
        startBorrowing(seed);
        accept(fineTuning(BATCH, "red", 16), WORK_SECONDS);
        accept(fineTuning(FINE_TUNING, "blue", 16), WORK_SECONDS);
        cluster.run(12);
        assertEquals(GPUS, runningBatchTasks());
    }

    private int runningBatchTasks() {
        return cluster.running(BATCH) + cluster.running(FINE_TUNING);
    }

    private void submitServing() {
        accept(serving(SERVING, "amber", REPLICAS), FOREVER);
    }

    /**
     * Runs an action and applies a fate to the message when the first message of a step is sent.
     */
    private void onFirstMessage(Step step, Runnable then, Delivery fate) {
        boolean[] happened = new boolean[1];
        cluster.network()
                .setDeliveryRule(
                        (from, request) -> {
                            if (happened[0] || !step.isStartedBy(request)) {
                                return Delivery.DELIVER;
                            }
                            happened[0] = true;
                            cluster.clock().after(0, then);
                            return fate;
                        });
    }

    private void assertServingRunsAndBatchCompletes() {
        cluster.endFailures().run(45);
        assertEquals(REPLICAS, cluster.running(SERVING));
        assertEquals(0, checker.storedRecallCount(), "every recall is settled");
        checker.allowDraining();
        cluster.cancel(follower(), SERVING);
        cluster.run(230);
        assertEquals("done", cluster.phase(follower(), BATCH));
        assertEquals("done", cluster.phase(follower(), FINE_TUNING));
        assertTrue(checker.haltsForOthers() >= 1, "recalls took place");
    }

    /**
     * Guards against halts without a committed recall, and against a new leader that does not know
     * a committed recall.
     */
    @ParameterizedTest
    @CsvSource({
        "COMMIT, KILLED, DROP",
        "COMMIT, KILLED, LOSE_RESPONSE",
        "COMMIT, PAUSED, DROP",
        "COMMIT, PAUSED, LOSE_RESPONSE",
        "HALT, KILLED, DROP",
        "HALT, KILLED, DELIVER",
        "HALT, PAUSED, DROP",
        "HALT, PAUSED, DELIVER",
        "CLAIM, KILLED, DROP",
        "CLAIM, KILLED, LOSE_RESPONSE",
        "CLAIM, PAUSED, DROP",
        "CLAIM, PAUSED, LOSE_RESPONSE",
        "START, KILLED, DROP",
        "START, KILLED, DELIVER",
        "START, PAUSED, DROP",
        "START, PAUSED, DELIVER"
    })
    void leaderFailsInTheMiddleOfARecall(Step step, Failure failure, Delivery fate) {
        startWithFullFleet(20);
        int leader = cluster.leader();
        onFirstMessage(
                step,
                () -> {
                    if (failure == Failure.KILLED) {
                        cluster.kill(leader);
                    } else {
                        cluster.pauseProcess(leader, 8);
                    }
                },
                fate);
        submitServing();
        cluster.run(12);
        assertNotEquals(leader, cluster.leader());
        if (failure == Failure.KILLED) {
            cluster.restart(leader);
        }
        assertServingRunsAndBatchCompletes();
    }

    /**
     * The leader is killed while victims save, and so is the next one while it continues the
     * recall.
     */
    @ParameterizedTest
    @ValueSource(doubles = {0.3, 0.7, 1.1, 1.5, 2.0})
    void leadersAreKilledOneAfterTheOtherWhileVictimsSave(double seconds) {
        startWithFullFleet(40);
        cluster.progress().setSaveSeconds(BATCH, 2);
        int first = cluster.leader();
        submitServing();
        cluster.run(seconds);
        cluster.kill(first);
        cluster.run(7 + seconds);
        int second = cluster.leader();
        cluster.restart(first);
        cluster.run(2);
        if (second >= 0) {
            cluster.kill(second);
            cluster.run(8);
            cluster.restart(second);
        }
        assertServingRunsAndBatchCompletes();
    }

    /**
     * Commits and commands of a deposed leader are delivered after its successor has taken over.
     */
    @ParameterizedTest
    @EnumSource(
            value = Step.class,
            names = {"COMMIT", "HALT", "CLAIM"})
    void messagesOfADeposedLeaderArriveLate(Step step) {
        startWithFullFleet(50);
        int leader = cluster.leader();
        boolean[] begun = new boolean[1];
        cluster.network()
                .setDeliveryRule(
                        (from, request) -> {
                            begun[0] |= step.isStartedBy(request);
                            boolean held =
                                    begun[0]
                                            && fromController(from, leader)
                                            && (isCommit(request) || isCommand(request));
                            return held ? Delivery.HOLD : Delivery.DELIVER;
                        });
        submitServing();
        cluster.run(4);
        cluster.kill(leader);
        cluster.run(9);
        assertNotEquals(leader, cluster.leader());
        cluster.network().releaseHeld();
        cluster.run(3);
        cluster.restart(leader);
        assertServingRunsAndBatchCompletes();
    }

    /**
     * During a recall, the key-value store refuses the leader, is down, applies commits late, or
     * refuses commits for their rate.
     */
    @ParameterizedTest
    @CsvSource({
        "COMMIT, leader_refused",
        "HALT, leader_refused",
        "CLAIM, leader_refused",
        "COMMIT, down",
        "HALT, down",
        "CLAIM, down",
        "COMMIT, late_commits",
        "HALT, late_commits",
        "CLAIM, late_commits",
        "COMMIT, rate_limit",
        "HALT, rate_limit",
        "CLAIM, rate_limit"
    })
    void stateServiceFailsInTheMiddleOfARecall(Step step, String failure) {
        startWithFullFleet(60);
        int leader = cluster.leader();
        onFirstMessage(
                step,
                () -> {
                    switch (failure) {
                        case "leader_refused" ->
                                cluster.keyValueStore().refuseController(leader, true);
                        case "down" -> cluster.keyValueStore().setDown(true);
                        case "late_commits" -> cluster.keyValueStore().delayCommits(0.5);
                        default -> rejectCommitsForTheirRate();
                    }
                },
                Delivery.DELIVER);
        submitServing();
        cluster.run(20);
        if (failure.equals("down")) {
            cluster.keyValueStore().setDown(false);
        }
        assertServingRunsAndBatchCompletes();
    }

    /** Lets the key-value store refuse all commits for 6 s, as if the rate limit were reached. */
    private void rejectCommitsForTheirRate() {
        double until = cluster.clock().now() + 6;
        cluster.network()
                .setDeliveryRule(
                        (from, request) ->
                                toKeyValueStore(request)
                                                && isCommit(request)
                                                && cluster.clock().now() < until
                                        ? Delivery.REFUSE
                                        : Delivery.DELIVER);
    }

    /**
     * At any step, a machine hangs, is unreachable, loses its reports, gets a preemption notice or
     * is reclaimed.
     */
    @ParameterizedTest
    @CsvSource({
        "COMMIT, hung",
        "HALT, hung",
        "CLAIM, hung",
        "COMMIT, unreachable",
        "HALT, unreachable",
        "COMMIT, reports_lost",
        "HALT, reports_lost",
        "COMMIT, notice",
        "HALT, notice",
        "CLAIM, notice",
        "HALT, reclaimed",
        "CLAIM, reclaimed"
    })
    void machineOfVictimsFailsInTheMiddleOfARecall(Step step, String failure) {
        startWithFullFleet(80);
        SimWorker machine = machines().get(1);
        onFirstMessage(step, () -> fail(machine, failure), Delivery.DELIVER);
        submitServing();
        cluster.run(10);
        machine.setHung(false);
        cluster.run(LEASE_SECONDS);
        if (failure.equals("notice")) {
            cluster.cloud().reclaim(machine);
        }
        if (!cluster.cloud().machines().containsValue(machine)) {
            cluster.machines("large", "a", 1);
        }
        cluster.cloud().restoreCapacity();
        assertServingRunsAndBatchCompletes();
    }

    private void fail(SimWorker machine, String failure) {
        switch (failure) {
            case "hung" -> machine.setHung(true);
            case "unreachable" -> cluster.network().blockMessagesTo(machine);
            case "reports_lost" -> cluster.network().blockHeartbeatsFrom(machine);
            case "notice" -> machine.givePreemptionNotice(20);
            default -> cluster.cloud().reclaim(machine);
        }
    }

    /** The demand ends before the halts are sent, so no task is stopped. */
    @Test
    void recallIsTakenBackIfTheDemandFallsBeforeTheHalts() {
        startWithFullFleet(100);
        cluster.network()
                .delayResponses(
                        (from, request) ->
                                toKeyValueStore(request) && text(request).contains("recall/")
                                        ? 0.8
                                        : 0);
        submitServing();
        cluster.run(0.25);
        cluster.cancel(cluster.leader(), SERVING);
        cluster.run(6);
        assertEquals(0, checker.haltsForOthers());
        assertEquals(GPUS, runningBatchTasks());
        assertEquals(0, checker.storedRecallCount());
        assertTrue(checker.committedRecallCount() > 0, "a recall was committed");
    }

    /**
     * Guards against halts based on outdated usage: while the response to the commit is lost, a
     * user cancels most of what the team with the recalled tasks runs, so that it would fall below
     * its guarantee.
     */
    @Test
    void noTaskIsHaltedIfItsTeamWouldFallBelowItsGuaranteeByTheTimeOfTheCommit() {
        startBorrowing(160);
        accept(fineTuning(BATCH, "red", 8), FOREVER);
        accept(serving(OTHER, "blue", 14), FOREVER);
        accept(fineTuning(FINE_TUNING, "blue", 20), FOREVER);
        cluster.run(12);
        assertEquals(10, cluster.running(FINE_TUNING));
        boolean[] lost = new boolean[1];
        cluster.network()
                .setDeliveryRule(
                        (from, request) -> {
                            boolean first = !lost[0] && Step.COMMIT.isStartedBy(request);
                            lost[0] |= first;
                            return first ? Delivery.LOSE_RESPONSE : Delivery.DELIVER;
                        });
        submitServing();
        cluster.run(0.3);
        assertTrue(
                checker.storedRecallCount() > 0,
                "the recall is committed, but its response is lost");
        cluster.cancel(cluster.leader(), OTHER);
        cluster.run(8);
        assertEquals(REPLICAS, cluster.running(SERVING));
        assertTrue(checker.haltsForOthers() <= 2, "blue keeps 8 of its 10 tasks");
        assertTrue(cluster.running(FINE_TUNING) >= 8);
    }

    /**
     * Guards against a new leader that continues a recall without checking it: between commit and
     * halts the leader is killed, and the team with the recalled tasks loses its other machine.
     */
    @Test
    void newLeaderDropsARecallWhoseTeamWouldFallBelowItsGuarantee() {
        startWithFullFleet(180);
        int leader = cluster.leader();
        // The outage prevents the election of another leader until the machine is lost.
        onFirstMessage(
                Step.COMMIT,
                () -> {
                    cluster.kill(leader);
                    cluster.clock().after(0.05, () -> cluster.keyValueStore().setDown(true));
                },
                Delivery.LOSE_RESPONSE);
        submitServing();
        cluster.run(0.5);
        assertTrue(checker.storedRecallCount() > 0);
        for (SimWorker machine : machines()) {
            boolean otherMachineOfTheTeam =
                    !checker.isRecalledOn(machine) && runsJobWithRecalledTasks(machine);
            if (otherMachineOfTheTeam) {
                cluster.cloud().reclaim(machine);
            }
        }
        assertEquals(3, machines().size());
        cluster.run(7);
        cluster.keyValueStore().setDown(false);
        cluster.run(20);
        cluster.restart(leader);
        cluster.run(15);
        assertEquals(REPLICAS, cluster.running(SERVING));
        assertEquals(8, cluster.running(BATCH), "red's guarantee");
        assertEquals(8, cluster.running(FINE_TUNING), "blue's guarantee");
    }

    /** Whether a machine runs tasks of the job that has recalled tasks. */
    private boolean runsJobWithRecalledTasks(SimWorker machine) {
        boolean recalledFromBatch =
                machines().stream()
                        .filter(checker::isRecalledOn)
                        .anyMatch(recalled -> hasTaskOf(recalled, BATCH));
        return hasTaskOf(machine, recalledFromBatch ? BATCH : FINE_TUNING);
    }

    private static boolean hasTaskOf(SimWorker machine, String job) {
        return IntStream.range(0, 16).anyMatch(task -> machine.hasTask(job + "/" + task));
    }

    /**
     * Guards against a new leader that recalls further tasks for a demand that already has a
     * recall: the victims save, and their machine does not report for some seconds.
     */
    @Test
    void newLeaderRecallsNoFurtherTasksForADemandWithARecall() {
        startWithFullFleet(190);
        int leader = cluster.leader();
        onFirstMessage(Step.HALT, () -> cluster.kill(leader), Delivery.DELIVER);
        submitServing();
        cluster.run(0.5);
        SimWorker recalledOn =
                machines().stream().filter(checker::isRecalledOn).findFirst().orElseThrow();
        cluster.network().blockHeartbeatsFrom(recalledOn);
        cluster.network().blockMessagesTo(recalledOn);
        cluster.run(5);
        assertNotEquals(leader, cluster.leader());
        cluster.heal();
        cluster.run(9);
        assertEquals(REPLICAS, cluster.running(SERVING));
        assertEquals(REPLICAS, checker.haltsForOthers());
        cluster.restart(leader);
    }

    /**
     * The job that the recall is for is cancelled at any step: stopped tasks run again, and no
     * recall record is left.
     */
    @ParameterizedTest
    @ValueSource(doubles = {0.3, 0.6, 1, 1.4, 1.8, 2.4, 3})
    void beneficiaryIsCancelledDuringARecall(double seconds) {
        startWithFullFleet(110);
        submitServing();
        cluster.run(seconds);
        assertEquals("cancelled", cluster.cancel(follower(), SERVING));
        cluster.run(40);
        assertEquals(GPUS, runningBatchTasks());
        assertEquals(0, checker.storedRecallCount());
    }

    /** The job of the victims is cancelled while they save: they end within {@code cancel_s}. */
    @ParameterizedTest
    @ValueSource(doubles = {0.3, 0.8, 1.3, 2})
    void victimsJobIsCancelledWhileSaving(double seconds) {
        startWithFullFleet(120);
        cluster.progress().setSaveSeconds(BATCH, 60);
        cluster.progress().setSaveSeconds(FINE_TUNING, 60);
        submitServing();
        cluster.run(seconds);
        assertEquals("cancelled", cluster.cancel(follower(), BATCH));
        cluster.run(8);
        assertEquals(0, cluster.running(BATCH));
        cluster.run(20);
        assertEquals(REPLICAS, cluster.running(SERVING));
        assertEquals(0, checker.storedRecallCount());
    }

    /**
     * Two teams request the same borrowed GPUs at the same time: each GPU is recalled for one of
     * them.
     */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void twoTeamsRequestTheSameLoansConcurrently(boolean leaderIsKilled) {
        startBorrowing(130);
        accept(fineTuning(BATCH, "amber", 32), 400);
        cluster.run(12);
        assertEquals(GPUS, cluster.running(BATCH));
        int leader = cluster.leader();
        if (leaderIsKilled) {
            onFirstMessage(Step.HALT, () -> cluster.kill(leader), Delivery.DROP);
        }
        String red = serving(SERVING, "red", 16).toString();
        String blue = serving(OTHER, "blue", 16).toString();
        cluster.sendAsUser(follower(), "POST", "/submissions", red, 5, reply -> {});
        cluster.sendAsUser(follower(), "POST", "/submissions", blue, 5, reply -> {});
        cluster.run(leaderIsKilled ? 25 : 10);
        assertEquals(24, cluster.running(SERVING) + cluster.running(OTHER));
        assertEquals(8, cluster.running(BATCH), "amber's guarantee");
        assertTrue(cluster.running(SERVING) >= 8, "red's guarantee");
        assertTrue(cluster.running(OTHER) >= 8, "blue's guarantee");
    }

    /**
     * Controllers are restarted one by one from a version without recalls to one with them, or
     * back.
     */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void upgradeToRecallsAndBack(boolean toRecalls) {
        startBorrowing(140);
        setRecalls(!toRecalls);
        for (int controller = 0; controller < CONTROLLERS; controller++) {
            cluster.restart(controller);
            cluster.run(8);
        }
        accept(fineTuning(BATCH, "red", 16), 200);
        accept(fineTuning(FINE_TUNING, "blue", 16), 200);
        cluster.run(12);
        submitServing();
        cluster.run(0.7);
        setRecalls(toRecalls);
        for (int i = 0; i < CONTROLLERS; i++) {
            cluster.restart(i);
            cluster.run(9);
        }
        cluster.run(20);
        assertEquals(REPLICAS, cluster.running(SERVING));
        assertEquals(GPUS - REPLICAS, runningBatchTasks());
        checker.allowControllersWithoutRecalls();
    }

    private void setRecalls(boolean on) {
        cluster.setBorrowing(
                on ? Optional.of(OperatorSettings.Borrowing.DEFAULTS) : Optional.empty());
    }

    /** Recall records that a version without recalls leaves are settled after the next upgrade. */
    @Test
    void recallsLeftBehindAreSettledLater() {
        startWithFullFleet(150);
        int leader = cluster.leader();
        onFirstMessage(Step.HALT, () -> cluster.kill(leader), Delivery.DROP);
        submitServing();
        cluster.run(0.8);
        assertTrue(checker.storedRecallCount() > 0);
        setRecalls(false);
        for (int i = 0; i < CONTROLLERS; i++) {
            cluster.restart(i);
        }
        cluster.run(15);
        assertEquals(REPLICAS, cluster.running(SERVING));
        assertTrue(checker.storedRecallCount() > 0, "a version without recalls leaves the record");
        setRecalls(true);
        for (int i = 0; i < CONTROLLERS; i++) {
            cluster.restart(i);
            cluster.run(8);
        }
        assertEquals(0, checker.storedRecallCount());
        assertEquals(REPLICAS, cluster.running(SERVING));
        checker.allowControllersWithoutRecalls();
    }
}
