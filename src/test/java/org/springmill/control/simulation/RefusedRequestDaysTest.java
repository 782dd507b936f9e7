package org.springmill.control.simulation;

import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.springmill.control.storage.StoredLiveClaims;
import org.springmill.protocol.OperatorSettings;
import org.springmill.sim.SimOptions;
import org.springmill.sim.SimulatedCluster;

/**
 * Days drawn from a seed: the key-value store refuses single requests and serves the next, also of
 * a new leader and between the pages of a listing, while controllers crash and machines hang.
 * Recalls and the bounded history are on or off, and pages have few entries. A longer run by hand:
 * {@code mvn test -Dtest=RefusedRequestDaysTest -Dspringmill.days=1000
 * -Dspringmill.firstSeed=5000}.
 */
class RefusedRequestDaysTest extends DrawnDaysFixture {
    private static final int STEPS = 24;
    private static final int STEPS_PER_REFUSED_RECOVERY = 4;
    private static final double MAX_STEP_SECONDS = 10;
    private static final double MAX_HANG_SECONDS = 10;
    private static final double MAX_REFUSED_SHARE = 0.9;
    private static final double MAX_REFUSAL_SECONDS = 4;
    private static final double MAX_ELECTION_SECONDS = 1.5;
    private static final double MAX_DOWN_SECONDS = 8;
    private static final int SERVICES_AT_ONCE = 12;
    private static final double RECOVERY_SECONDS = 120;
    private static final double RETENTION_SECONDS = 30;
    private static final int MAX_PAGE_ENTRIES = 8;

    /** Chosen by a source of its own, so that everything else is drawn as without the history. */
    private static final long HISTORY_SEED_MASK = 0x5eed_0f_a1151L;

    /** The tasks of all services that were accepted. */
    private final List<String> services = new ArrayList<>();

    /** What happens at the beginning of a step. */
    private enum Event {
        REFUSE_REQUESTS,
        CRASH_LEADER,
        REFUSE_THE_NEXT_LEADER,
        CRASH_ANY,
        HANG,
        SERVICES,
        SHORT_JOBS,
        CANCEL
    }

    private static final List<Event> EVENTS = List.of(Event.values());

    /** Guards against ran_twice and others by a step that is repeated after a refusal. */
    @ParameterizedTest
    @MethodSource("org.springmill.control.simulation.DaySeeds#seeds")
    void noInvariantIsBrokenWhicheverRequestIsRefused(long seed) {
        random = new SplittableRandom(seed);
        SplittableRandom historyRandom = new SplittableRandom(seed ^ HISTORY_SEED_MASK);
        SimOptions options = drawOptions(seed).withHistoryRetention(drawRetention(historyRandom));
        SimulatedCluster started = new SimulatedCluster(options);
        started.keyValueStore().setMaxPageEntries(1 + historyRandom.nextInt(MAX_PAGE_ENTRIES));
        startCluster(started);
        cluster.startPolling();
        submitServices();
        for (int step = 0; step < STEPS; step++) {
            boolean isRecovery = random.nextInt(STEPS_PER_REFUSED_RECOVERY) == 0;
            apply(
                    isRecovery
                            ? Event.REFUSE_THE_NEXT_LEADER
                            : EVENTS.get(random.nextInt(EVENTS.size())));
            cluster.run(random.nextDouble() * MAX_STEP_SECONDS);
            assertRunningTasksAreClaimed();
        }
        cluster.run(MAX_HANG_SECONDS);
        cluster.endFailures().run(RECOVERY_SECONDS);
    }

    /** The next leader has to know each task that runs. */
    private void assertRunningTasksAreClaimed() {
        Map<String, JsonNode> rounds = new HashMap<>();
        for (String key : cluster.keyValueStore().keysUnder("round/")) {
            rounds.put(key, cluster.keyValueStore().value(key));
        }
        Set<String> claimed = StoredLiveClaims.tasks(rounds);
        for (String task : services) {
            boolean runs = machines().stream().anyMatch(machine -> machine.runs(task));
            assertTrue(!runs || claimed.contains(task), task + " runs without a claim");
        }
    }

    private SimOptions drawOptions(long seed) {
        Optional<OperatorSettings.Borrowing> recalls =
                random.nextBoolean()
                        ? Optional.of(OperatorSettings.Borrowing.DEFAULTS)
                        : Optional.empty();
        return SimOptions.DEFAULTS.withSeed(seed).withBorrowing(recalls);
    }

    private static OptionalDouble drawRetention(SplittableRandom source) {
        return source.nextBoolean() ? OptionalDouble.of(RETENTION_SECONDS) : OptionalDouble.empty();
    }

    private void apply(Event event) {
        switch (event) {
            case REFUSE_REQUESTS -> refuseRequests();
            case CRASH_LEADER -> crashIfUp(cluster.leader(), MAX_DOWN_SECONDS);
            case REFUSE_THE_NEXT_LEADER -> refuseTheNextLeader();
            case CRASH_ANY -> crashIfUp(drawController(), MAX_DOWN_SECONDS);
            case HANG -> hangMachine(MAX_HANG_SECONDS);
            case SERVICES -> submitServices();
            case SHORT_JOBS -> runShortJobs();
            case CANCEL -> cancel();
        }
    }

    private void refuseRequests() {
        cluster.keyValueStore().refuseRequests(random.nextDouble() * MAX_REFUSED_SHARE);
        cluster.clock()
                .after(
                        random.nextDouble() * MAX_REFUSAL_SECONDS,
                        () -> cluster.keyValueStore().refuseRequests(0));
    }

    /** Refusals that begin while the next leader is elected or recovers. */
    private void refuseTheNextLeader() {
        crashIfUp(cluster.leader(), MAX_DOWN_SECONDS);
        cluster.run(random.nextDouble() * MAX_ELECTION_SECONDS);
        refuseRequests();
    }

    private void submitServices() {
        int number = 1 + random.nextInt(SERVICES_AT_ONCE);
        for (int service = 0; service < number; service++) {
            String id = nextId();
            var job = SimulatedCluster.job(id, "blue", "service", 1, 1, random.nextInt(2));
            if (cluster.submit(drawController(), job, FOREVER) == 201) {
                liveJobs.add(id);
                services.add(id + "/0");
            }
        }
    }
}
