package org.springmill.control.admission;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.constraints.IntRange;
import org.springmill.sim.VirtualClock;

/**
 * Tests that the shares of several controllers never add up to more than one after any step, under
 * random demand, lost and late messages and changes of leader.
 */
class StoreRateSharesPropertyTest {
    private static final double VALIDITY_SECONDS = 0.7;
    private static final double DRIFT = 1.002;
    private static final double CHANGES_PER_SECOND = 60;
    private static final double TOLERANCE = 1e-9;

    /** The kind of one step. */
    private enum Kind {
        ASK,
        ASK_AND_HOLD_ANSWER,
        LOSE_RESPONSE,
        RELEASE_ANSWERS,
        LOAD,
        CHANGE_LEADER,
        LOSE_LEASE,
        WAIT
    }

    private record Step(Kind kind, int controller, int amount) {}

    @Provide
    Arbitrary<List<Step>> schedules() {
        Arbitrary<Kind> kinds = Arbitraries.of(Kind.class);
        Arbitrary<Integer> controllers = Arbitraries.integers().between(0, 5);
        Arbitrary<Integer> amounts = Arbitraries.integers().between(0, 100);
        return Combinators.combine(kinds, controllers, amounts)
                .as(Step::new)
                .list()
                .ofMinSize(20)
                .ofMaxSize(200);
    }

    @Property(tries = 400, seed = "20261203")
    void sharesNeverAddUpToMoreThanOne(
            @ForAll @IntRange(min = 1, max = 6) int controllers,
            @ForAll("schedules") List<Step> schedule) {
        Group group = new Group(controllers);
        for (Step step : schedule) {
            group.execute(step);
            assertTrue(group.sum() <= 1 + TOLERANCE, "shares add up to " + group.sum());
        }
    }

    /** Controllers whose questions and answers are delivered by the test. */
    private static final class Group {
        private final VirtualClock clock = new VirtualClock();
        private final List<StoreRateShares> shares = new ArrayList<>();
        private final List<Runnable> heldAnswers = new ArrayList<>();
        private int leader;
        private boolean leaseValid = true;
        private long term = 1;
        private long question;

        Group(int controllers) {
            for (int i = 0; i < controllers; i++) {
                int number = i;
                shares.add(
                        new StoreRateShares(
                                clock,
                                () -> number == leader && leaseValid ? term : 0,
                                0.6,
                                controllers,
                                VALIDITY_SECONDS,
                                DRIFT,
                                CHANGES_PER_SECOND));
            }
        }

        double sum() {
            return shares.stream().mapToDouble(StoreRateShares::current).sum();
        }

        void execute(Step step) {
            int controller = step.controller() % shares.size();
            switch (step.kind()) {
                case ASK -> ask(controller).run();
                case ASK_AND_HOLD_ANSWER -> heldAnswers.add(ask(controller));
                case LOSE_RESPONSE -> ask(controller);
                case RELEASE_ANSWERS -> {
                    heldAnswers.forEach(Runnable::run);
                    heldAnswers.clear();
                }
                case LOAD -> load(shares.get(controller), step.amount());
                case CHANGE_LEADER -> {
                    leader = controller;
                    term++;
                    leaseValid = true;
                }
                case LOSE_LEASE -> leaseValid = false;
                case WAIT -> clock.run(step.amount() / 100.0 * VALIDITY_SECONDS);
            }
        }

        private void load(StoreRateShares target, int changes) {
            target.recordQueued(changes);
            target.recordSent(changes);
        }

        /** Sends a question to the leader and returns the delivery of the answer. */
        private Runnable ask(int controller) {
            StoreRateShares asking = shares.get(controller);
            double askedAt = clock.now();
            long number = ++question;
            if (controller == leader) {
                return () -> {};
            }
            double lent = shares.get(leader).lend("n-" + controller, asking.wantedLoan());
            return () -> asking.borrow(number, askedAt, lent);
        }
    }
}
