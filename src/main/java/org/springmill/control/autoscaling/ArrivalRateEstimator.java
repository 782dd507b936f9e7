package org.springmill.control.autoscaling;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.springmill.protocol.CloudMessages.MachineType;
import org.springmill.protocol.Settings;
import org.springmill.protocol.Submission;

/**
 * Estimates how many tasks of each class arrive while a machine boots, which is the headroom to
 * keep for the class.
 */
public final class ArrivalRateEstimator {
    /**
     * Length of the averaging window in boot times: long enough for a steady estimate, short enough
     * to follow a burst. A window based on the worker lease, which is unrelated to the boot time,
     * was almost twice as long where leases are long.
     */
    private static final double WINDOW_BOOTS = 3;

    /**
     * A job that must finish within fewer boot times than this cannot wait for a machine to boot.
     */
    private static final double TIGHT_OBJECTIVE_BOOTS = 4;

    /** The slowest fetch takes a third longer than the rate of the machine type implies. */
    private static final double SLOWEST_FETCH_FACTOR = 4 / 3.0;

    /** At most this many tasks of one job count as arrivals, which bounds the headroom. */
    private static final int MAX_TASKS_PER_JOB = 100;

    /** The kind of an objective on the time until a task starts. */
    private static final String WAIT = "wait";

    /** The kind of an objective on the time until a job has finished. */
    private static final String FINISHED = "finished";

    private final Settings settings;
    private final double startedAt;
    private final Map<String, Deque<Arrival>> arrivals = new HashMap<>();
    private final Map<String, Submission> latestJobs = new HashMap<>();

    private record Arrival(double at, int tasks) {}

    /**
     * Creates an estimator without recorded arrivals.
     *
     * @param settings objectives by class, and the factor on the headroom
     * @param now start of the leader's term in seconds
     */
    public ArrivalRateEstimator(Settings settings, double now) {
        this.settings = settings;
        this.startedAt = now;
    }

    /**
     * Records a job that was accepted, or recovered from storage.
     *
     * @param now time in seconds
     * @param counted whether the job arrived just now, rather than being recovered from storage
     */
    public void recordArrival(Submission job, double now, boolean counted) {
        latestJobs.put(job.jobClass(), job);
        // Most jobs that arrive at the start of a term were waiting for a leader and do not show
        // the arrival rate. When they counted, a new fleet requested twice as many machines, which
        // then were never idle.
        if (counted && now - startedAt > settings.workers().leaseSeconds() / 2) {
            arrivals.computeIfAbsent(job.jobClass(), jobClass -> new ArrayDeque<>())
                    .add(new Arrival(now, Math.min(job.tasks(), MAX_TASKS_PER_JOB)));
        }
    }

    /**
     * Returns the latest job of each class that must start within less than a boot time, or finish
     * within too few boot times to wait for a machine to boot.
     */
    List<Submission> latencyCriticalJobs(double bootSeconds) {
        Set<String> classes = new HashSet<>();
        for (Settings.Objective objective : settings.objectives()) {
            if (isTight(objective, bootSeconds) && objective.jobClass() != null) {
                classes.add(objective.jobClass());
            }
        }
        List<Submission> jobs = new ArrayList<>();
        for (String jobClass : classes) {
            Submission job = latestJobs.get(jobClass);
            if (job != null) {
                jobs.add(job);
            }
        }
        return jobs;
    }

    private static boolean isTight(Settings.Objective objective, double bootSeconds) {
        return switch (objective.kind()) {
            case WAIT -> objective.withinSeconds() < bootSeconds;
            case FINISHED -> objective.withinSeconds() < TIGHT_OBJECTIVE_BOOTS * bootSeconds;
            default -> false;
        };
    }

    /**
     * Whether some class that fits on a machine type must start within less time than an image
     * fetch may take. Machines of such a type are not drained, since their cached images are worth
     * more than the machines cost.
     */
    boolean isBoundToCachedImages(MachineType type) {
        for (Settings.Objective objective : settings.objectives()) {
            Submission job =
                    objective.kind().equals(WAIT) ? latestJobs.get(objective.jobClass()) : null;
            if (job != null
                    && type.fits(job)
                    && job.imageGb() * SLOWEST_FETCH_FACTOR
                            > objective.withinSeconds() * type.fetchGbPerSecond()) {
                return true;
            }
        }
        return false;
    }

    /**
     * Returns how many tasks of a class to expect while a machine boots: the mean plus one standard
     * deviation, times the configured factor. Jobs arrive at random, each with all of its tasks
     * together, so the deviation grows with the size of the jobs.
     */
    int expectedTasks(String jobClass, double bootSeconds, double now) {
        Deque<Arrival> recent = arrivals.get(jobClass);
        if (recent == null) {
            return 1;
        }
        double windowSeconds = WINDOW_BOOTS * bootSeconds;
        while (!recent.isEmpty() && recent.peek().at() < now - windowSeconds) {
            recent.poll();
        }
        double observedSeconds =
                Math.max(
                        bootSeconds,
                        Math.min(
                                windowSeconds,
                                now - startedAt - settings.workers().leaseSeconds() / 2));
        double mean =
                recent.stream().mapToDouble(Arrival::tasks).sum() / observedSeconds * bootSeconds;
        double variance =
                recent.stream()
                                .mapToDouble(arrival -> (double) arrival.tasks() * arrival.tasks())
                                .sum()
                        / observedSeconds
                        * bootSeconds;
        return (int) Math.ceil((mean + Math.sqrt(variance)) * settings.operator().headroomFactor());
    }
}
