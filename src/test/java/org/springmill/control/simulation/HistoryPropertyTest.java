package org.springmill.control.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.Set;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.ShrinkingMode;
import org.springmill.sim.SimNetwork.Delivery;
import org.springmill.sim.SimulatedCluster;

/**
 * Random interleavings of user requests and of failures of controllers, key-value store and network
 * while records are moved. No job is accepted twice, no final state is lost or changed, and no
 * ended job stays in memory. The simulated cluster also checks its invariants: no task runs twice,
 * no accepted job is lost, and no answer contradicts an earlier one.
 */
class HistoryPropertyTest {
    private static final int CONTROLLERS = 3;
    private static final double RETENTION_SECONDS = 30;
    private static final double UNTIL_ARCHIVED_SECONDS = RETENTION_SECONDS + 12;
    private static final double UNTIL_LISTED_SECONDS = 5;
    private static final int PAGE_ENTRIES = 1;
    private static final int ID_FACTOR = 7919;
    private static final int ID_MODULUS = 999_983;
    private static final int MAX_PAGES_SERVED = 3;

    /** What happens in one step. */
    private enum Kind {
        SUBMIT,
        SUBMIT_DEPENDENT,
        RESUBMIT,
        WITHDRAW,
        QUERY,
        RESTART,
        KILL,
        DROP_WATCHES,
        HOLD_COMMITS,
        DELAY_COMMITS,
        OUTAGE,
        REFUSE,
        REFUSE_PAGES,
        FORGET_CHANGES,
        HEAL,
        RELEASE,
        WAIT
    }

    /**
     * One step.
     *
     * @param controller at which it happens, or to which
     * @param pick chooses among the jobs so far
     * @param seconds that pass afterwards
     */
    private record Step(Kind kind, int controller, int pick, double seconds) {}

    @Provide
    Arbitrary<List<Step>> schedules() {
        Arbitrary<Kind> kinds = Arbitraries.of(Kind.class);
        Arbitrary<Integer> controllers = Arbitraries.integers().between(0, CONTROLLERS - 1);
        Arbitrary<Integer> picks = Arbitraries.integers().between(0, 1000);
        Arbitrary<Double> waits = Arbitraries.of(0.0, 0.02, 0.3, 2.0, 15.0);
        return Combinators.combine(kinds, controllers, picks, waits)
                .as(Step::new)
                .list()
                .ofMinSize(40)
                .ofMaxSize(90);
    }

    @Property(tries = 60, seed = "20261202", shrinking = ShrinkingMode.BOUNDED)
    void noJobIsAcceptedTwiceAndNoFinalStateIsLostOrChanged(
            @ForAll("schedules") List<Step> schedule) {
        new Run().execute(schedule);
    }

    /** A cluster that a schedule is run on. */
    private static final class Run {
        private final SimulatedCluster cluster =
                new SimulatedCluster(1, OptionalDouble.of(RETENTION_SECONDS))
                        .machines("large", "a", 2)
                        .machines("large", "b", 2)
                        .run(20);
        private final List<ObjectNode> jobs = new ArrayList<>();
        private final Set<String> accepted = new HashSet<>();
        private final Map<String, String> finalStates = new HashMap<>();

        void execute(List<Step> schedule) {
            cluster.keyValueStore().setMaxPageEntries(PAGE_ENTRIES);
            for (Step step : schedule) {
                apply(step);
                cluster.run(step.seconds());
            }
            cluster.network().releaseHeld();
            restartAll();
            cluster.endFailures().run(30);
            for (ObjectNode job : jobs) {
                withdraw(0, idOf(job));
                cluster.run(0.2);
            }
            cluster.run(180);
            cluster.network().releaseHeld();
            cluster.run(10);
            assertEquals(List.of(), cluster.violations());
            assertEquals(List.of(), cluster.startsAfterCancel());
            jobs.forEach(this::assertOneFinalState);
            assertNothingStaysInMemory();
        }

        private void apply(Step step) {
            int controller = step.controller();
            switch (step.kind()) {
                case SUBMIT -> submit(controller, newJob());
                case SUBMIT_DEPENDENT -> submit(controller, newDependent(step.pick()));
                case RESUBMIT -> withJob(step, job -> submit(controller, job));
                case WITHDRAW -> withJob(step, job -> withdraw(controller, idOf(job)));
                case QUERY -> withJob(step, job -> query(controller, idOf(job)));
                case RESTART -> cluster.restart(controller);
                case KILL -> cluster.kill(controller);
                case DROP_WATCHES -> setFate(controller, "/changes?under=job/", Delivery.DROP);
                case HOLD_COMMITS -> setFate(controller, "/commit", Delivery.HOLD);
                case DELAY_COMMITS -> cluster.keyValueStore().delayCommits(0.4);
                case OUTAGE -> cluster.keyValueStore().setDown(true);
                case REFUSE -> cluster.keyValueStore().refuseController(controller, true);
                case REFUSE_PAGES -> refusePages(controller, step.pick());
                case FORGET_CHANGES -> cluster.keyValueStore().dropWatchHistory();
                case HEAL -> heal();
                case RELEASE -> cluster.network().releaseHeld();
                case WAIT -> cluster.run(RETENTION_SECONDS);
            }
        }

        private void setFate(int controller, String path, Delivery fate) {
            cluster.network()
                    .setDeliveryRule(
                            (from, request) ->
                                    MessageMatchers.fromController(from, controller)
                                                    && request.path().startsWith(path)
                                            ? fate
                                            : Delivery.DELIVER);
        }

        /**
         * Refuses the later pages of a listing that a controller begins while two jobs run, until
         * the jobs' records may be archived.
         */
        private void refusePages(int controller, int pick) {
            int other = (controller + 1) % CONTROLLERS;
            List<ObjectNode> running = List.of(newJob(), newJob());
            running.forEach(job -> submit(other, job));
            int pagesServed = 1 + pick % MAX_PAGES_SERVED;
            cluster.keyValueStore().refuseJobPagesAfter(controller, pagesServed);
            cluster.restart(controller);
            cluster.run(UNTIL_ARCHIVED_SECONDS);
            cluster.keyValueStore().serveRequests();
            cluster.run(UNTIL_LISTED_SECONDS);
            running.forEach(job -> query(other, idOf(job)));
            running.forEach(job -> query(controller, idOf(job)));
        }

        private void heal() {
            cluster.network().setDeliveryRule((from, request) -> Delivery.DELIVER);
            cluster.keyValueStore().delayCommits(0);
            cluster.keyValueStore().setDown(false);
            for (int controller = 0; controller < CONTROLLERS; controller++) {
                cluster.keyValueStore().refuseController(controller, false);
            }
        }

        private void restartAll() {
            for (int controller = 0; controller < CONTROLLERS; controller++) {
                cluster.restart(controller);
            }
        }

        private ObjectNode newJob() {
            // Ids come in no order, so that a new job may be on any page of a listing.
            String id = String.format("run-%06d", (jobs.size() + 1) * ID_FACTOR % ID_MODULUS);
            ObjectNode job = SimulatedCluster.job(id, "red", "sweep", 1, 1, 1);
            jobs.add(job);
            return job;
        }

        private ObjectNode newDependent(int pick) {
            ObjectNode needed = jobs.isEmpty() ? null : jobs.get(pick % jobs.size());
            ObjectNode job = newJob();
            if (needed != null && accepted.contains(idOf(needed))) {
                ArrayNode names = job.putArray("waitsOn");
                names.add(idOf(needed));
            }
            return job;
        }

        private void withJob(Step step, java.util.function.Consumer<ObjectNode> action) {
            if (!jobs.isEmpty()) {
                action.accept(jobs.get(step.pick() % jobs.size()));
            }
        }

        private static String idOf(ObjectNode job) {
            return job.path("nameId").asText();
        }

        private void submit(int controller, ObjectNode job) {
            int status = cluster.submit(controller, job, 1);
            if (status == 201) {
                assertTrue(accepted.add(idOf(job)), idOf(job) + " is accepted a second time");
            } else if (status == 200) {
                accepted.add(idOf(job));
            } else {
                assertNotEquals(422, status, idOf(job));
            }
        }

        private void withdraw(int controller, String id) {
            recordFinalState(id, cluster.cancel(controller, id));
        }

        private void query(int controller, String id) {
            recordFinalState(id, cluster.phase(controller, id));
        }

        private void recordFinalState(String id, String phase) {
            if (phase.equals("done") || phase.equals("cancelled")) {
                assertEquals(finalStates.computeIfAbsent(id, i -> phase), phase, id);
            }
        }

        private void assertOneFinalState(ObjectNode job) {
            String id = idOf(job);
            for (int controller = 0; controller < CONTROLLERS; controller++) {
                String phase = cluster.phase(controller, id);
                boolean never = phase.equals("404") && !accepted.contains(id);
                boolean over = phase.equals("done") || phase.equals("cancelled");
                assertTrue(never || over, id + " is " + phase + " at " + controller);
                recordFinalState(id, phase);
            }
        }

        private void assertNothingStaysInMemory() {
            for (int controller = 0; controller < CONTROLLERS; controller++) {
                cluster.run(1.1);
                String metrics =
                        new String(
                                cluster.ask(controller, "GET", "/metrics", "").body(),
                                StandardCharsets.UTF_8);
                assertTrue(metrics.contains("springmill_jobs 0."), metrics);
                assertTrue(metrics.contains("springmill_cancellations 0."), metrics);
            }
            assertEquals(List.of(), cluster.keyValueStore().keysUnder("job/"));
        }
    }
}
