package org.springmill.control.simulation;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.springmill.sim.SimNetwork.Delivery;
import org.springmill.sim.SimWorker;
import org.springmill.sim.SimWorker.Memory;
import org.springmill.sim.SimulatedCluster;
import org.springmill.transport.HttpClient.Request;

/**
 * Days drawn from a seed: workers' processes are replaced by new ones that know nothing, or only
 * their token or session, while controllers crash and are back soon, machines hang or get
 * preemption notices, jobs are cancelled, and copies of answered commands and of heartbeats arrive
 * late. On every other day new machines get the addresses of machines that are gone. A longer run
 * by hand: {@code mvn test -Dtest=WorkerRestartDaysTest -Dspringmill.days=1000
 * -Dspringmill.firstSeed=5000}.
 *
 * <p>Left out are copies of commands that reach a new process before it has seen any token: it
 * would obey them (docs/questions.md, 19). That lasts from its beginning until its first heartbeat
 * has reached a leader: {@link #HEARD_WITHIN_SECONDS} after the first reply of any controller, of
 * which half a second is the protocol's for a redirect, unless no leader is in charge.
 */
class WorkerRestartDaysTest extends DrawnDaysFixture {
    private static final int STEPS = 40;
    private static final double MAX_STEP_SECONDS = 4;
    private static final double MAX_FIRST_HEARTBEAT_SECONDS = 1;
    private static final double MAX_HANG_SECONDS = 10;
    private static final double MAX_DOWN_SECONDS = 6;
    private static final double MAX_QUICK_DOWN_SECONDS = 1;
    private static final double MAX_COPY_DELAY_SECONDS = 60;
    private static final double COPIED_SHARE = 0.2;
    private static final double COPIED_SHARE_AFTER_RESTART = 0.5;
    private static final double MAX_SOON_SECONDS = 12;
    private static final double HEARD_WITHIN_SECONDS = 0.6;
    private static final double ELECTED_WITHIN_SECONDS = 4;
    private static final double MAX_HEARTBEAT_COPY_SHARE = 0.3;
    private static final double NOTICE_SECONDS = 20;
    private static final double RECOVERY_SECONDS = 120;

    /** All direct commands so far. */
    private final List<Request> commands = new ArrayList<>();

    /** What happens at the beginning of a step. */
    private enum Event {
        RESTART_WORKER,
        RESTART_WORKERS_AT_ONCE,
        RESTART_WORKER_AND_LEADER,
        CRASH_LEADER,
        CRASH_ANY,
        HANG,
        NOTICE,
        COPY_HEARTBEATS,
        LOSE_COMMAND_ANSWERS,
        DELIVER_ALL,
        SERVICES,
        SHORT_JOBS,
        CANCEL
    }

    private static final List<Memory> MEMORIES = List.of(Memory.values());
    private static final List<Event> EVENTS = List.of(Event.values());

    /** Guards against ran_twice by the late copy of a start, and against a start after a cancel. */
    @ParameterizedTest
    @MethodSource("org.springmill.control.simulation.DaySeeds#seeds")
    void noTaskRunsTwiceOrAfterItsCancellation(long seed) {
        random = new SplittableRandom(seed);
        startCluster(seed);
        if (seed % 2 == 0) {
            cluster.cloud().reuseAddresses();
        }
        cluster.network()
                .duplicateCommands(this::isCopied, MAX_COPY_DELAY_SECONDS, this::isCopyDelivered);
        cluster.startPolling();
        submitServices();
        for (int step = 0; step < STEPS; step++) {
            apply(EVENTS.get(random.nextInt(EVENTS.size())));
            cluster.run(random.nextDouble() * MAX_STEP_SECONDS);
        }
        cluster.run(MAX_HANG_SECONDS);
        cluster.endFailures().run(RECOVERY_SECONDS);
    }

    private boolean isCopied(Request command) {
        commands.add(command);
        return random.nextDouble() < COPIED_SHARE;
    }

    private boolean isCopyDelivered(Request command) {
        return cluster.machineAt(command.address()).filter(this::isHeard).isPresent();
    }

    /** Whether a process has had the time to get a token from a leader in charge. */
    private boolean isHeard(SimWorker machine) {
        double now = cluster.clock().now();
        boolean leaderInCharge =
                cluster.controllersUp() == CONTROLLERS
                        && now > lastCrashOverAt() + ELECTED_WITHIN_SECONDS;
        boolean hasHadTime = now > machine.firstReplyAt() + HEARD_WITHIN_SECONDS;
        return !machine.hasSeenNoToken() || (leaderInCharge && hasHadTime);
    }

    private void apply(Event event) {
        switch (event) {
            case RESTART_WORKER -> restart(drawMachine());
            case RESTART_WORKERS_AT_ONCE -> machines().forEach(this::restart);
            case RESTART_WORKER_AND_LEADER -> {
                restart(drawMachine());
                crashIfUp(cluster.leader(), MAX_QUICK_DOWN_SECONDS);
            }
            case CRASH_LEADER -> crashIfUp(cluster.leader(), MAX_DOWN_SECONDS);
            case CRASH_ANY -> crashIfUp(drawController(), MAX_DOWN_SECONDS);
            case HANG -> hangMachine(MAX_HANG_SECONDS);
            case NOTICE -> drawMachine().givePreemptionNotice(NOTICE_SECONDS);
            case COPY_HEARTBEATS ->
                    cluster.network()
                            .duplicateHeartbeats(random.nextDouble() * MAX_HEARTBEAT_COPY_SHARE);
            case LOSE_COMMAND_ANSWERS -> loseCommandAnswers();
            case DELIVER_ALL -> deliverAllMessages();
            case SERVICES -> submitServices();
            case SHORT_JOBS -> runShortJobs();
            case CANCEL -> cancel();
        }
    }

    private SimWorker drawMachine() {
        if (machines().isEmpty()) {
            cluster.machines("large", "a", 1).run(1);
        }
        return machines().get(random.nextInt(machines().size()));
    }

    /** Replaces a worker's process; copies of what the earlier one was told follow. */
    private void restart(SimWorker machine) {
        machine.restartProcess(
                MEMORIES.get(random.nextInt(MEMORIES.size())),
                random.nextDouble() * MAX_FIRST_HEARTBEAT_SECONDS);
        commands.stream()
                .filter(command -> command.address().equals(machine.address()))
                .filter(MessageMatchers::isStartCommand)
                .filter(command -> random.nextDouble() < COPIED_SHARE_AFTER_RESTART)
                .forEach(this::deliverCopySoon);
    }

    private void deliverCopySoon(Request command) {
        cluster.clock()
                .after(
                        random.nextDouble() * MAX_SOON_SECONDS,
                        () -> {
                            if (isCopyDelivered(command)) {
                                cluster.network().deliverAgain(command);
                            }
                        });
    }

    private void loseCommandAnswers() {
        String address = drawMachine().address();
        cluster.network()
                .setDeliveryRule(
                        (from, request) ->
                                request.address().equals(address)
                                        ? Delivery.LOSE_RESPONSE
                                        : Delivery.DELIVER);
    }

    private void submitServices() {
        String id = nextId();
        var job = SimulatedCluster.job(id, "blue", "service", 1 + random.nextInt(4), 1, 1);
        if (cluster.submit(drawController(), job, FOREVER) == 201) {
            liveJobs.add(id);
        }
    }
}
