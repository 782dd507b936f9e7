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
 * Measures how fast tasks of each class arrive, to know how much room has to stand ready for them.
 */
public final class ArrivalRateEstimator {
    /**
     * Arrivals are counted over this many boots: long enough to be steady, short enough to follow a
     * burst. The boot time is that of the machines: taken from the workers' lease, which is not
     * related to it, the window was almost twice as long where leases are long.
     */
    private static final double WINDOW_BOOTS = 3;

    private static final double TIGHT_OBJECTIVE_BOOTS = 4;

    /** Machines fetch at their type's rate, give or take a third. */
    private static final double SLOWEST_FETCH_FACTOR = 4 / 3.0;

    /** No room is kept for more tasks of one job than this. */
    private static final int MAX_TASKS_PER_JOB = 100;

    private final Settings settings;
    private final double startedAt;
    private final Map<String, Deque<Arrival>> arrivals = new HashMap<>();
    private final Map<String, Submission> latestJobs = new HashMap<>();

    private record Arrival(double at, int tasks) {}

    public ArrivalRateEstimator(Settings settings, double now) {
        this.settings = settings;
        this.startedAt = now;
    }

    /**
     * Takes in a job that was accepted, or read back from storage.
     *
     * @param counted whether the job arrived just now, rather than being read back from storage
     */
    public void arrived(Submission job, double now, boolean counted) {
        latestJobs.put(job.jobClass(), job);
        // What comes in the first moments of a term has mostly been waiting for it and says nothing
        // of the rate: at the
        // start of a fleet it had machines rented for as much again, which then never stood empty.
        if (counted && now - startedAt > settings.workers().leaseSeconds() / 2) {
            arrivals.computeIfAbsent(job.jobClass(), c -> new ArrayDeque<>())
                    .add(new Arrival(now, Math.min(job.tasks(), MAX_TASKS_PER_JOB)));
        }
    }

    /**
     * Classes that have to start sooner than a machine boots, or to be finished within so few boots
     * that none of them may go by in waiting; each with a job to stand for it.
     */
    List<Submission> latencyCriticalJobs(double bootSeconds) {
        Set<String> classes = new HashSet<>();
        for (Settings.Objective objective : settings.objectives()) {
            boolean tight =
                    (objective.kind().equals("wait") && objective.withinSeconds() < bootSeconds)
                            || (objective.kind().equals("finished")
                                    && objective.withinSeconds()
                                            < TIGHT_OBJECTIVE_BOOTS * bootSeconds);
            if (tight && objective.jobClass() != null) {
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

    /**
     * Whether some class that runs on a type of machine has to start in less than a fetch may take.
     * There the images that a machine holds are worth more than the machine costs, and the few that
     * hold one are not given up.
     */
    boolean isBoundToCachedImages(MachineType type) {
        for (Settings.Objective objective : settings.objectives()) {
            Submission job =
                    objective.kind().equals("wait") ? latestJobs.get(objective.jobClass()) : null;
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
     * How many tasks of a class to expect while a machine boots, with what chance adds on top: jobs
     * come at random, but each brings all of its tasks at once, so chance is as large as the jobs
     * are.
     */
    int expectedTasks(String jobClass, double bootSeconds, double now) {
        Deque<Arrival> jobs = arrivals.get(jobClass);
        if (jobs == null) {
            return 1;
        }
        double windowSeconds = WINDOW_BOOTS * bootSeconds;
        while (!jobs.isEmpty() && jobs.peek().at() < now - windowSeconds) {
            jobs.poll();
        }
        double over =
                Math.max(
                        bootSeconds,
                        Math.min(
                                windowSeconds,
                                now - startedAt - settings.workers().leaseSeconds() / 2));
        double mean = jobs.stream().mapToDouble(Arrival::tasks).sum() / over * bootSeconds;
        double variance =
                jobs.stream().mapToDouble(job -> (double) job.tasks() * job.tasks()).sum()
                        / over
                        * bootSeconds;
        return (int) Math.ceil((mean + Math.sqrt(variance)) * settings.operator().reserve());
    }
}
