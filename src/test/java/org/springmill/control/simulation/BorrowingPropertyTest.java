package org.springmill.control.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.ShrinkingMode;
import org.springmill.protocol.OperatorSettings;
import org.springmill.sim.BorrowingChecker;
import org.springmill.sim.SimOptions;
import org.springmill.sim.SimWorker;
import org.springmill.sim.SimulatedCluster;

/**
 * Random demand, failures and timings on a fleet that is full of tasks on borrowed resources. No
 * team is pushed below its entitlement for another or runs above its limit, each GPU is recalled
 * for one team only, nothing runs twice, no checkpoint is lost, and in the end every recall is
 * settled.
 */
class BorrowingPropertyTest {
    private static final int CONTROLLERS = 3;
    private static final double FOREVER = Double.POSITIVE_INFINITY;
    private static final List<String> TEAMS = List.of("red", "blue", "amber");
    private static final double RECOVERY_SECONDS = 110;

    /** What happens in one step. */
    private enum Kind {
        SERVE,
        SERVE_LARGE,
        WITHDRAW,
        KILL_LEADER,
        PAUSE_LEADER,
        RESTART,
        OUTAGE,
        REFUSE_LEADER,
        DELAY_COMMITS,
        DELAY_RESPONSES,
        HANG,
        BLOCK_MESSAGES,
        BLOCK_REPORTS,
        DUPLICATE_REPORTS,
        HEAL,
        WAIT
    }

    /**
     * One step.
     *
     * @param pick chooses teams, jobs and machines
     * @param amount how many replicas are asked for
     * @param seconds that pass afterwards
     */
    private record Step(Kind kind, int pick, int amount, double seconds) {}

    @Provide
    Arbitrary<List<Step>> schedules() {
        Arbitrary<Kind> kinds =
                Arbitraries.frequencyOf(
                        net.jqwik.api.Tuple.of(3, Arbitraries.of(Kind.SERVE)),
                        net.jqwik.api.Tuple.of(2, Arbitraries.of(Kind.WITHDRAW)),
                        net.jqwik.api.Tuple.of(4, Arbitraries.of(Kind.class)));
        Arbitrary<Integer> picks = Arbitraries.integers().between(0, 1000);
        Arbitrary<Integer> amounts = Arbitraries.integers().between(1, 10);
        Arbitrary<Double> waits = Arbitraries.of(0.05, 0.2, 0.5, 1.0, 3.0, 9.0);
        return Combinators.combine(kinds, picks, amounts, waits)
                .as(Step::new)
                .list()
                .ofMinSize(20)
                .ofMaxSize(50);
    }

    @Property(tries = 40, seed = "20261202", shrinking = ShrinkingMode.BOUNDED)
    void loanInvariantsHoldUnderRandomFailures(@ForAll("schedules") List<Step> schedule) {
        new Run(schedule.size()).execute(schedule);
    }

    /**
     * A schedule found by the property test. The worker of an unreachable machine began a new
     * session, and the next leader, without proof that the machine's tasks had ended, counted them
     * as usage of their team.
     */
    @Example
    void tasksMissingFromReportsAreNotCountedAsUsage() {
        new Run(20)
                .execute(
                        List.of(
                                new Step(Kind.SERVE, 0, 1, 0.05),
                                new Step(Kind.BLOCK_MESSAGES, 2, 1, 1.0),
                                new Step(Kind.PAUSE_LEADER, 482, 8, 3.0),
                                new Step(Kind.SERVE, 999, 10, 0.05),
                                new Step(Kind.REFUSE_LEADER, 34, 7, 3.0),
                                new Step(Kind.WITHDRAW, 2, 9, 0.05),
                                new Step(Kind.HANG, 8, 2, 1.0),
                                new Step(Kind.SERVE, 823, 5, 0.5),
                                new Step(Kind.WITHDRAW, 99, 8, 0.2),
                                new Step(Kind.WITHDRAW, 310, 4, 0.05),
                                new Step(Kind.RESTART, 30, 7, 1.0),
                                new Step(Kind.SERVE, 372, 6, 9.0),
                                new Step(Kind.SERVE, 2, 1, 9.0),
                                new Step(Kind.PAUSE_LEADER, 17, 7, 0.2),
                                new Step(Kind.WITHDRAW, 91, 7, 1.0),
                                new Step(Kind.WITHDRAW, 230, 7, 0.2),
                                new Step(Kind.SERVE, 999, 2, 0.05),
                                new Step(Kind.SERVE, 1000, 1, 0.05),
                                new Step(Kind.SERVE, 0, 10, 9.0),
                                new Step(Kind.PAUSE_LEADER, 248, 5, 0.5)));
    }

    /** A cluster that a schedule is run on. */
    private static final class Run {
        private final SimulatedCluster cluster;
        private final BorrowingChecker checker;
        private final List<String> services = new ArrayList<>();
        private int nextJobNumber = 100;

        Run(long seed) {
            cluster =
                    new SimulatedCluster(
                                    SimOptions.DEFAULTS
                                            .withSeed(seed)
                                            .withBorrowing(
                                                    Optional.of(
                                                            OperatorSettings.Borrowing.DEFAULTS)))
                            .machines("large", "a", 2)
                            .machines("large", "b", 2)
                            .run(6);
            cluster.cloud().exhaustCapacity();
            checker = new BorrowingChecker(cluster);
            cluster.submit(0, BorrowingFixture.fineTuning("run-000020", "red", 16), FOREVER);
            cluster.submit(1, BorrowingFixture.batch("run-000030", "blue", 48), FOREVER);
            cluster.run(12);
        }

        void execute(List<Step> schedule) {
            for (Step step : schedule) {
                apply(step);
                cluster.run(step.seconds());
            }
            restart();
            cluster.machines().forEach(machine -> machine.setHung(false));
            cluster.endFailures().run(RECOVERY_SECONDS);
            assertEquals(List.of(), checker.violations());
            assertEquals(List.of(), cluster.violations());
            assertEquals(List.of(), cluster.startsAfterCancel());
            assertEquals(0, checker.storedRecallCount());
            assertEquals(0, cluster.progress().lostCheckpointedSeconds());
        }

        private void apply(Step step) {
            int leader = cluster.leader();
            switch (step.kind()) {
                case SERVE -> serve(step, 1);
                case SERVE_LARGE -> serve(step, 4);
                case WITHDRAW -> withdraw(step);
                case KILL_LEADER -> {
                    if (leader >= 0 && cluster.controllersUp() > 1) {
                        cluster.kill(leader);
                    }
                }
                case PAUSE_LEADER -> {
                    if (leader >= 0 && cluster.isUp(leader)) {
                        cluster.pauseProcess(leader, 0.5 * step.amount());
                    }
                }
                case RESTART -> restart();
                case OUTAGE -> cluster.keyValueStore().setDown(true);
                case REFUSE_LEADER -> {
                    if (leader >= 0) {
                        cluster.keyValueStore().refuseController(leader, true);
                    }
                }
                case DELAY_COMMITS -> cluster.keyValueStore().delayCommits(0.3);
                case DELAY_RESPONSES ->
                        cluster.network()
                                .delayResponses((from, request) -> 0.1 * (step.pick() % 6));
                case HANG -> machine(step).ifPresent(m -> m.setHung(step.amount() % 2 == 0));
                case BLOCK_MESSAGES -> machine(step).ifPresent(cluster.network()::blockMessagesTo);
                case BLOCK_REPORTS ->
                        machine(step).ifPresent(cluster.network()::blockHeartbeatsFrom);
                case DUPLICATE_REPORTS -> cluster.network().duplicateHeartbeats(0.2);
                case HEAL -> {
                    cluster.keyValueStore().setDown(false);
                    cluster.heal();
                }
                case WAIT -> {}
            }
        }

        /** Empty if no machine is left. */
        private Optional<SimWorker> machine(Step step) {
            List<SimWorker> machines = cluster.machines();
            return machines.isEmpty()
                    ? Optional.empty()
                    : Optional.of(machines.get(step.pick() % machines.size()));
        }

        private void serve(Step step, double gpus) {
            String id = "run-000" + nextJobNumber++;
            String team = TEAMS.get(step.pick() % TEAMS.size());
            int replicas = gpus > 1 ? 1 : step.amount();
            ObjectNode job =
                    SimulatedCluster.job(id, team, "service", replicas, 1, gpus)
                            .put("urgency", step.pick() % 4 == 0 ? "normal" : "prod");
            services.add(id);
            cluster.sendAsUser(
                    step.pick() % CONTROLLERS,
                    "POST",
                    "/submissions",
                    job.toString(),
                    5,
                    reply -> {});
        }

        private void withdraw(Step step) {
            if (!services.isEmpty()) {
                String id = services.get(step.pick() % services.size());
                String path = "/submissions/" + id + "/withdraw";
                cluster.sendAsUser(step.pick() % CONTROLLERS, "POST", path, "", 5, reply -> {});
            }
        }

        private void restart() {
            for (int controller = 0; controller < CONTROLLERS; controller++) {
                if (!cluster.isUp(controller)) {
                    cluster.restart(controller);
                }
            }
        }
    }
}
