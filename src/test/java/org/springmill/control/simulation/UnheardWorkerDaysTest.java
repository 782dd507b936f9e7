package org.springmill.control.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.springmill.sim.SimWorker;
import org.springmill.sim.SimulatedCluster;

/**
 * Days drawn from a seed: leaders end while machines boot, workers reach no controller while
 * commands reach them, machines hang and go on, late copies of heartbeats arrive, and the cloud is
 * out meanwhile. A longer run by hand: {@code mvn test -Dtest=UnheardWorkerDaysTest
 * -Dspringmill.days=1000 -Dspringmill.firstSeed=5000}.
 */
class UnheardWorkerDaysTest {
    private static final int STEPS = 30;
    private static final int CONTROLLERS = 3;
    private static final int GPUS_PER_MACHINE = 8;
    private static final double MAX_STEP_SECONDS = 9;
    private static final double MAX_BOOT_SECONDS = 30;
    private static final double RECOVERY_SECONDS = 120;

    /** What happens at the beginning of a step. */
    private enum Event {
        BOOT_MACHINE,
        RESTART_LEADER,
        RESTART_FOLLOWER,
        LOSE_HEARTBEATS,
        DELAY_HEARTBEATS,
        DELIVER_HEARTBEATS,
        TAKE_CLOUD_DOWN,
        BRING_CLOUD_UP,
        HANG_MACHINE,
        RESUME_MACHINES,
        SUBMIT,
        CANCEL
    }

    private static final List<Event> EVENTS = List.of(Event.values());

    @ParameterizedTest
    @MethodSource("org.springmill.control.simulation.DaySeeds#seeds")
    void noTaskRunsTwice(long seed) {
        Day day = new Day(seed);
        day.play();
        assertEquals(List.of(), day.cluster.violations());
        assertEquals(List.of(), day.cluster.startsAfterCancel());
    }

    /** One day on a cluster of its own. */
    private static final class Day {
        private final SplittableRandom random;
        private final SimulatedCluster cluster;
        private final List<String> liveJobs = new ArrayList<>();
        private int submitted;

        Day(long seed) {
            random = new SplittableRandom(seed);
            cluster =
                    new SimulatedCluster(seed)
                            .machines("large", "a", 2)
                            .machines("large", "b", 2)
                            .run(8)
                            .startPolling();
        }

        void play() {
            submit();
            submit();
            for (int i = 0; i < STEPS; i++) {
                apply(EVENTS.get(random.nextInt(EVENTS.size())));
                cluster.run(random.nextDouble() * MAX_STEP_SECONDS);
            }
            machines().forEach(machine -> machine.setHung(false));
            cluster.endFailures().run(RECOVERY_SECONDS);
        }

        private void apply(Event event) {
            switch (event) {
                case BOOT_MACHINE -> bootUnheardMachine();
                case RESTART_LEADER -> cluster.restart(Math.max(0, cluster.leader()));
                case RESTART_FOLLOWER ->
                        cluster.restart(Math.floorMod(cluster.leader() + 1, CONTROLLERS));
                case LOSE_HEARTBEATS ->
                        anyMachine().ifPresent(cluster.network()::blockHeartbeatsFrom);
                case DELAY_HEARTBEATS -> anyMachine().ifPresent(this::delayHeartbeatsFrom);
                case DELIVER_HEARTBEATS -> deliverHeartbeats();
                case TAKE_CLOUD_DOWN -> cluster.cloud().setDown(true);
                case BRING_CLOUD_UP -> cluster.cloud().setDown(false);
                case HANG_MACHINE -> anyMachine().ifPresent(machine -> machine.setHung(true));
                case RESUME_MACHINES -> machines().forEach(machine -> machine.setHung(false));
                case SUBMIT -> submit();
                case CANCEL -> cancel();
            }
        }

        private void bootUnheardMachine() {
            String zone = random.nextBoolean() ? "a" : "b";
            SimWorker machine =
                    cluster.addMachine("large", zone, random.nextDouble() * MAX_BOOT_SECONDS);
            if (random.nextBoolean()) {
                cluster.network().blockHeartbeatsFrom(machine);
            }
        }

        private void delayHeartbeatsFrom(SimWorker machine) {
            String name = machine.name();
            double seconds = random.nextDouble() * 3;
            cluster.network().delayRequests((from, request) -> from.equals(name) ? seconds : 0);
            cluster.network().duplicateHeartbeats(0.2);
        }

        private void deliverHeartbeats() {
            cluster.network().deliverHeartbeats();
            cluster.network().delayRequests((from, request) -> 0);
        }

        private void submit() {
            String id = String.format("run-%06d", ++submitted);
            int tasks = 1 + random.nextInt(3);
            int gpus = 1 + random.nextInt(GPUS_PER_MACHINE);
            String team = random.nextBoolean() ? "blue" : "amber";
            int status =
                    cluster.submit(
                            random.nextInt(CONTROLLERS),
                            SimulatedCluster.job(id, team, "service", tasks, 1, gpus),
                            Double.POSITIVE_INFINITY);
            if (status == 201) {
                liveJobs.add(id);
            }
        }

        private void cancel() {
            if (!liveJobs.isEmpty()) {
                String id = liveJobs.remove(random.nextInt(liveJobs.size()));
                cluster.cancel(random.nextInt(CONTROLLERS), id);
            }
        }

        /** A random machine; empty if the cloud has none at this moment. */
        private Optional<SimWorker> anyMachine() {
            List<SimWorker> machines = machines();
            return machines.isEmpty()
                    ? Optional.empty()
                    : Optional.of(machines.get(random.nextInt(machines.size())));
        }

        private List<SimWorker> machines() {
            return cluster.machines();
        }
    }
}
