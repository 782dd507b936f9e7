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
 * Estimates the rate at which tasks of each class arrive, and from it the headroom that they need.
 */
public final class ArrivalRateEstimator {
    /**
     * Arrivals are counted over this many boots: long enough to be steady, short enough to follow a
     * burst. The window follows the machines' boot time: when it followed the workers' lease, which
     * is not related to it, it was almost twice as long where leases are long.
     */
    private static final double WINDOW_BOOTS = 3;

    /** An objective to finish within fewer boots than these leaves no time to wait for one. */
    private static final double TIGHT_OBJECTIVE_BOOTS = 4;

    /** Machines fetch at their type's rate, give or take a third. */
    private static final double SLOWEST_FETCH_FACTOR = 4 / 3.0;

    /** No headroom is kept for more tasks of one job than this. */
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
     * An estimator that has seen no arrival.
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
        // Jobs that arrive in the first moments of a term have mostly been waiting for it and say
        // nothing of the rate: at the start of a fleet as many machines again were requested for
        // them, which then never were idle.
        if (counted && now - startedAt > settings.workers().leaseSeconds() / 2) {
            arrivals.computeIfAbsent(job.jobClass(), jobClass -> new ArrayDeque<>())
                    .add(new Arrival(now, Math.min(job.tasks(), MAX_TASKS_PER_JOB)));
        }
    }

    /**
     * Classes that have to start sooner than a machine boots, or to be finished within so few boots
     * that none of them may pass in waiting; each represented by its latest job.
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
     * Whether some class that runs on a type of machine has to start in less than a fetch may take.
     * There the images that a machine caches are worth more than the machine costs, and the few
     * machines that hold one are not drained.
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
     * How many tasks of a class to expect while a machine boots: mean and one standard deviation.
     * Jobs arrive at random, each with all of its tasks at once, so the deviation grows with the
     * size of the jobs.
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
        return (int) Math.ceil((mean + Math.sqrt(variance)) * settings.operator().reserve());
    }
}
