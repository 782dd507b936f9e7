package org.springmill.control.simulation;

import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.springmill.sim.SimulatedCluster;
import org.springmill.transport.HttpClient.Request;

/**
 * Days drawn from a seed: a zone is partitioned, with or without the leader, the key-value store is
 * out, one controller, all outside the zone, or all crash, jobs are cancelled, and copies of
 * committed transactions arrive. A longer run by hand: {@code mvn test
 * -Dtest=PartitionedZoneDaysTest -Dspringmill.days=1000 -Dspringmill.firstSeed=5000}.
 */
class PartitionedZoneDaysTest extends DrawnDaysFixture {
    private static final int STEPS = 24;
    private static final int COPIES_PER_STEP = 20;
    private static final double MAX_STEP_SECONDS = 14;

    /** The longest outage in the operators' pages. */
    private static final double MAX_OUTAGE_SECONDS = 60;

    /** Two outages with a shorter pause would be one that is longer than any in the pages. */
    private static final double MIN_SECONDS_BETWEEN_OUTAGES = 30;

    /** How long controllers are down after a crash: at once, or about as long as on the pages. */
    private static final double SHORT_DOWN_SECONDS = 0.3;

    private static final double LONG_DOWN_SECONDS = 7;

    private static final double RECOVERY_SECONDS = 120;
    private static final int NONE = -1;

    private int inZone = NONE;
    private int outages;
    private boolean isOutage;
    private double outageEndedAt = Double.NEGATIVE_INFINITY;

    /** What happens at the beginning of a step. */
    private enum Event {
        PARTITION_ZONE,
        HEAL_ZONE,
        BEGIN_OUTAGE,
        END_OUTAGE,
        CRASH,
        CRASH_OUTSIDE,
        CRASH_ALL,
        SUBMIT,
        CANCEL,
        CANCEL_IN_THE_LEADERS_ZONE,
        SHORT_JOBS,
        REPEAT_TRANSACTIONS
    }

    private static final List<Event> EVENTS = List.of(Event.values());

    /** Guards against ran_cancelled in a partitioned zone, and ran_twice by a repeated round. */
    @ParameterizedTest
    @MethodSource("org.springmill.control.simulation.DaySeeds#seeds")
    void noInvariantIsBrokenWhateverMeets(long seed) {
        random = new SplittableRandom(seed);
        startCluster(seed);
        cluster.startPolling();
        submit();
        submit();
        cluster.run(MAX_STEP_SECONDS);
        for (int step = 0; step < STEPS; step++) {
            apply(EVENTS.get(random.nextInt(EVENTS.size())));
            boolean isShort = random.nextBoolean();
            cluster.run(random.nextDouble() * (isShort ? 1 : MAX_STEP_SECONDS));
        }
        healZone();
        endOutage();
        cluster.endFailures().run(RECOVERY_SECONDS);
    }

    private void apply(Event event) {
        switch (event) {
            case PARTITION_ZONE -> partitionZone();
            case HEAL_ZONE -> healZone();
            case BEGIN_OUTAGE -> beginOutage();
            case END_OUTAGE -> endOutage();
            case CRASH -> crash(random.nextInt(CONTROLLERS), drawDownSeconds());
            case CRASH_OUTSIDE -> crashAllBut(inZone);
            case CRASH_ALL -> crashAllBut(NONE);
            case SUBMIT -> submit();
            case CANCEL -> cancel();
            case CANCEL_IN_THE_LEADERS_ZONE -> cancelInTheLeadersZone();
            case SHORT_JOBS -> runShortJobs();
            case REPEAT_TRANSACTIONS -> repeatTransactions();
        }
    }

    private void partitionZone() {
        if (inZone == NONE) {
            boolean leaderInside = random.nextBoolean() && cluster.leader() != NONE;
            inZone = leaderInside ? cluster.leader() : random.nextInt(CONTROLLERS);
            partitionZone("b", inZone);
        }
    }

    /** A job is cancelled between the partition of the leader's zone and the next election. */
    private void cancelInTheLeadersZone() {
        if (inZone == NONE && mayBeginOutage() && cluster.leader() != NONE) {
            inZone = cluster.leader();
            partitionZone("b", inZone);
            cluster.run(random.nextDouble());
            cancel();
            cluster.run(random.nextDouble());
            beginOutage();
            cluster.run(MAX_OUTAGE_SECONDS);
        }
    }

    @Override
    boolean mayRunShortJobs() {
        return !isOutage;
    }

    private void healZone() {
        if (inZone != NONE) {
            healZone(inZone);
            inZone = NONE;
        }
    }

    private void beginOutage() {
        if (mayBeginOutage()) {
            isOutage = true;
            cluster.keyValueStore().setDown(true);
            int begun = ++outages;
            cluster.clock().after(MAX_OUTAGE_SECONDS, () -> endOutage(begun));
        }
    }

    private boolean mayBeginOutage() {
        return !isOutage && cluster.clock().now() - outageEndedAt >= MIN_SECONDS_BETWEEN_OUTAGES;
    }

    private void endOutage(int begun) {
        if (begun == outages) {
            endOutage();
        }
    }

    private void endOutage() {
        if (isOutage) {
            outageEndedAt = cluster.clock().now();
        }
        isOutage = false;
        cluster.keyValueStore().setDown(false);
    }

    private double drawDownSeconds() {
        return random.nextBoolean() ? SHORT_DOWN_SECONDS : LONG_DOWN_SECONDS;
    }

    /** All controllers but one crash, and are back together or one after the other. */
    private void crashAllBut(int spared) {
        double downSeconds = drawDownSeconds();
        boolean together = random.nextBoolean();
        for (int controller = 0; controller < CONTROLLERS; controller++) {
            if (controller != spared) {
                crash(controller, together ? downSeconds : drawDownSeconds());
            }
        }
    }

    /** A controller that users reach. */
    @Override
    int drawController() {
        int controller = random.nextInt(CONTROLLERS);
        return controller == inZone ? (controller + 1) % CONTROLLERS : controller;
    }

    private void submit() {
        String id = nextId();
        int replicas = 1 + random.nextInt(4);
        if (cluster.submit(
                        drawController(),
                        SimulatedCluster.job(id, "blue", "service", replicas, 1, 3),
                        FOREVER)
                == 201) {
            liveJobs.add(id);
        }
    }

    private void repeatTransactions() {
        List<Request> committed = cluster.keyValueStore().committedTransactions();
        for (int copy = 0; copy < COPIES_PER_STEP && !isOutage; copy++) {
            cluster.keyValueStore().commitAgain(committed.get(random.nextInt(committed.size())));
        }
    }
}
