package org.springmill.control.recall;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.HdrHistogram.Histogram;
import org.springmill.control.autoscaling.PackingFixtures;
import org.springmill.control.cluster.ClusterState;
import org.springmill.control.cluster.Fleet;
import org.springmill.control.cluster.HeartbeatSource;
import org.springmill.control.cluster.Job;
import org.springmill.control.cluster.Machine;
import org.springmill.control.cluster.TaskAttempt;
import org.springmill.control.scheduling.CapacityFilter;
import org.springmill.control.scheduling.Placement;
import org.springmill.control.storage.Claim;
import org.springmill.control.timing.Timeouts;
import org.springmill.protocol.CloudMessages.MachineType;
import org.springmill.protocol.JobKind;
import org.springmill.protocol.OperatorSettings;
import org.springmill.protocol.Priority;
import org.springmill.protocol.Settings;
import org.springmill.protocol.Submission;
import org.springmill.protocol.TaskId;
import org.springmill.protocol.WorkerMessages.ExitCause;
import org.springmill.protocol.WorkerMessages.Heartbeat;
import org.springmill.protocol.WorkerMessages.TaskState;
import org.springmill.protocol.WorkerMessages.TaskStatus;
import org.springmill.sim.VirtualClock;

/**
 * Measures how long a leader takes to plan the recalls of one round on a fleet of the given size,
 * for a service whose replicas need machines that are full of other teams' tasks.
 *
 * <p>Arguments: machines, tasks per machine, replicas, GPUs per replica. Not a test: the figures
 * depend on the processor.
 */
public final class RecallCostMeasurement {
    private static final int TEAMS = 200;
    private static final int WARM_UP_RUNS = 20;
    private static final int RUNS = 50;
    private static final double MICROSECONDS_PER_NANO = 1e-3;
    private static final double MILLISECONDS_PER_MICRO = 1e-3;
    private static final int SIGNIFICANT_DIGITS = 3;

    /** Fencing token of the first term, in which the fleet is created. */
    private static final long FENCING_TOKEN = 1L << 20;

    private final VirtualClock clock = new VirtualClock();
    private final Settings settings;
    private final Timeouts timeouts;
    private final ClusterState clusterState;
    private final Fleet fleet;
    private final RecallPlanner planner;
    private int lastJobNumber;

    private RecallCostMeasurement(int machines) {
        settings = settings(machines);
        timeouts = Timeouts.of(settings);
        clusterState = new ClusterState(settings);
        fleet = new Fleet(clusterState, null, clock, timeouts, 1, 3.5);
        GracePeriods grace = new GracePeriods(timeouts, OperatorSettings.Borrowing.DEFAULTS);
        planner =
                new RecallPlanner(
                        fleet,
                        new Placement(fleet, timeouts, CapacityFilter.NONE),
                        new RecallReservations(),
                        grace,
                        timeouts);
    }

    public static void main(String[] arguments) {
        int machines = Integer.parseInt(arguments[0]);
        int tasks = Integer.parseInt(arguments[1]);
        int replicas = Integer.parseInt(arguments[2]);
        double gpus = Double.parseDouble(arguments[3]);
        RecallCostMeasurement measurement = new RecallCostMeasurement(machines);
        measurement.fillMachines(machines, tasks);
        measurement.submitService(replicas, gpus);
        Histogram micros = new Histogram(SIGNIFICANT_DIGITS);
        int plans = 0;
        for (int i = 0; i < WARM_UP_RUNS + RUNS; i++) {
            long before = System.nanoTime();
            plans = measurement.planner.plan().size();
            long nanos = System.nanoTime() - before;
            if (i >= WARM_UP_RUNS) {
                micros.recordValue((long) (nanos * MICROSECONDS_PER_NANO));
            }
        }
        System.out.printf(
                "%d machines, %d tasks, %d replicas of %.0f GPUs: %d recalls planned;"
                        + " p50 %.1f ms, p95 %.1f ms, maximum %.1f ms%n",
                machines,
                machines * tasks,
                replicas,
                gpus,
                plans,
                micros.getValueAtPercentile(50) * MILLISECONDS_PER_MICRO,
                micros.getValueAtPercentile(95) * MILLISECONDS_PER_MICRO,
                micros.getMaxValue() * MILLISECONDS_PER_MICRO);
    }

    private static Settings settings(int machines) {
        List<Settings.Team> teams = new ArrayList<>();
        for (int i = 0; i < TEAMS; i++) {
            teams.add(new Settings.Team("team-" + i, 0, 0, machines / (2.0 * TEAMS), 0));
        }
        return new Settings(
                "n-0",
                "a",
                "10.0.0.0:8080",
                "10.0.0.0:8081",
                Map.of(),
                "cloud:1",
                "state:1",
                List.of("a", "b"),
                1,
                teams,
                List.of(),
                new Settings.Workers(4, 20, 60),
                new Settings.StoreLimits(1100, 550, 8192, 32),
                new Settings.CloudLimits(4, 6),
                new Settings.Limits(1, 800, 10_000),
                OperatorSettings.DEFAULTS);
    }

    private void fillMachines(int machines, int tasks) {
        MachineType type = PackingFixtures.type("g8", 1, "a", "b");
        List<Job> batch = new ArrayList<>();
        for (int i = 1; i < TEAMS; i++) {
            Job job =
                    new Job(spec("team-" + i, JobKind.ARRAY, Priority.LOW, 10_000, 8.0 / tasks), i);
            clusterState.add(job);
            batch.add(job);
        }
        for (int i = 0; i < machines; i++) {
            Machine machine = fleet.getOrAdd(String.format("host-%06d", i));
            machine.describe("a:1", type, i % 2 == 0 ? "a" : "b", false);
            machine.transition(Machine.State.UP);
            List<TaskStatus> reported = new ArrayList<>();
            for (int task = 0; task < tasks; task++) {
                reported.add(start(batch.get((i * tasks + task) % batch.size()), machine));
            }
            machine.acceptHeartbeat(
                    heartbeat(machine, reported), HeartbeatSource.HEARTBEAT, clock.now());
        }
    }

    private TaskStatus start(Job job, Machine machine) {
        Claim claim = Claim.decide(new TaskId(job.id(), job.nextWaitingTask()), machine.name(), 1);
        TaskAttempt attempt = new TaskAttempt(claim, job, machine, clock.now());
        clusterState.add(attempt);
        attempt.transition(TaskAttempt.State.CLAIMED, clock.now());
        attempt.transition(TaskAttempt.State.SENT, clock.now());
        attempt.transition(TaskAttempt.State.RUNNING, clock.now());
        attempt.recordStatusReported(clock.now());
        return new TaskStatus(claim.task(), 1, TaskState.RUNNING, ExitCause.NONE);
    }

    private static Heartbeat heartbeat(Machine machine, List<TaskStatus> tasks) {
        return new Heartbeat(
                machine.name(),
                "a:1",
                "g8",
                machine.zone(),
                false,
                1,
                1,
                FENCING_TOKEN,
                null,
                tasks);
    }

    private void submitService(int replicas, double gpus) {
        clusterState.add(
                new Job(
                        spec("team-0", JobKind.SERVICE, Priority.PRODUCTION, replicas, gpus),
                        1000));
    }

    private Submission spec(String team, JobKind kind, Priority priority, int tasks, double gpus) {
        return new Submission(
                String.format("run-%06d", ++lastJobNumber),
                "c",
                team,
                kind,
                priority,
                tasks,
                0.1,
                gpus,
                0.1,
                "image",
                1,
                null,
                null,
                false,
                false,
                false,
                60,
                0,
                0,
                null,
                List.of());
    }
}
