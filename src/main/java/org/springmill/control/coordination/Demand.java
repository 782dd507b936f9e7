package org.springmill.control.coordination;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.springmill.protocol.CloudMessages.MachineType;
import org.springmill.protocol.Settings;
import org.springmill.protocol.Submission;

/**
 * Measures how fast tasks of each class arrive and end, to know how much room has to stand ready.
 */
final class Demand {
    /**
     * Arrivals are counted over this many boots: long enough to be steady, short enough to follow a
     * burst. The boot time is that of the machines: taken from the workers' lease, which is not
     * related to it, the window was almost twice as long where leases are long.
     */
    private static final double WINDOW_BOOTS = 3;

    private static final double TIGHT_BOOTS = 4;

    /** Machines fetch at their type's rate, give or take a third. */
    private static final double SLOW_FETCH = 4 / 3.0;

    /** Of fetches that vary so much, two in three take longer than this share of the usual time. */
    private static final double QUICK_FETCH = 0.9;

    /** No room is kept for more tasks of one job than this. */
    private static final int MOST_TASKS = 100;

    private final Settings settings;
    private final double startedAt;
    private final Map<String, RecentTasks> arrivals = new HashMap<>();
    private final Map<String, RecentTasks> departures = new HashMap<>();
    private final Map<String, Submission> latest = new HashMap<>();

    Demand(Settings settings, double now) {
        this.settings = settings;
        this.startedAt = now;
    }

    /**
     * @param counted whether the job arrived just now, rather than being read back from storage
     */
    void arrived(Submission job, double now, boolean counted) {
        latest.put(job.jobClass(), job);
        // What comes in the first moments of a term has mostly been waiting for it and says nothing
        // of the rate: at the
        // start of a fleet it had machines rented for as much again, which then never stood empty.
        if (counted && isSettled(now)) {
            recent(arrivals, job.jobClass()).add(now, Math.min(job.tasks(), MOST_TASKS));
        }
    }

    /** Notes that a task is done or its job cancelled, so that its room is free for others. */
    void departed(Submission job, double now) {
        if (isSettled(now)) {
            recent(departures, job.jobClass()).add(now, 1);
        }
    }

    private boolean isSettled(double now) {
        return measuredSeconds(now) > 0;
    }

    private double measuredSeconds(double now) {
        return now - startedAt - settings.workers().leaseS() / 2;
    }

    private static RecentTasks recent(Map<String, RecentTasks> byClass, String jobClass) {
        return byClass.computeIfAbsent(jobClass, name -> new RecentTasks());
    }

    /**
     * Classes that have to start sooner than a machine boots, or to be finished within so few boots
     * that none of them may go by in waiting; each with a job to stand for it.
     */
    List<Submission> urgent(double bootS) {
        Set<String> classes = new HashSet<>();
        for (Settings.Objective objective : settings.objectives()) {
            boolean tight =
                    (objective.kind().equals("wait") && objective.withinS() < bootS)
                            || (objective.kind().equals("finished")
                                    && objective.withinS() < TIGHT_BOOTS * bootS);
            if (tight && objective.jobClass() != null) {
                classes.add(objective.jobClass());
            }
        }
        List<Submission> jobs = new ArrayList<>();
        for (String jobClass : classes) {
            Submission job = latest.get(jobClass);
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
    boolean boundToImages(MachineType type) {
        return isFetchLate(type, SLOW_FETCH);
    }

    /**
     * Whether most fetches on a type of machine are too late for some class that runs there. Room
     * that just became free on some machine then is no room for it: it needs one that holds the
     * image, and the more machines have room the more likely one of them does.
     */
    boolean areMostFetchesLate(MachineType type) {
        return isFetchLate(type, QUICK_FETCH);
    }

    /**
     * Whether some class that runs on a type of machine has to start in less than a fetch takes.
     *
     * @param slowness how long the fetch takes, as a multiple of the usual time
     */
    private boolean isFetchLate(MachineType type, double slowness) {
        for (Settings.Objective objective : settings.objectives()) {
            Submission job =
                    objective.kind().equals("wait") ? latest.get(objective.jobClass()) : null;
            if (job != null
                    && type.fits(job)
                    && job.imageGb() * slowness > objective.withinS() * type.fetchGbPerS()) {
                return true;
            }
        }
        return false;
    }

    /**
     * How many tasks of a class room has to stand ready for while a machine boots: those that
     * arrive, with what chance adds on top. Jobs come at random, but each brings all of its tasks
     * at once, so chance is as large as the jobs are.
     *
     * @param endsLeaveRoom whether tasks that end leave room for those that arrive; where they do
     *     and did not count, room for a whole boot's arrivals stood empty beside it
     */
    int expected(String jobClass, boolean endsLeaveRoom, double bootS, double now) {
        if (!arrivals.containsKey(jobClass)) {
            return 1;
        }
        double windowSeconds = WINDOW_BOOTS * bootS;
        double boots = Math.max(bootS, Math.min(windowSeconds, measuredSeconds(now))) / bootS;
        RecentTasks arrived = recent(arrivals, jobClass);
        RecentTasks departed = recent(departures, jobClass);
        arrived.forgetBefore(now - windowSeconds);
        departed.forgetBefore(now - windowSeconds);
        double ends = endsLeaveRoom ? departed.tasks() : 0;
        double growth = Math.max(0, arrived.tasks() - ends) / boots;
        double chance = Math.sqrt(arrived.squares() / boots);
        return (int) Math.ceil((growth + chance) * settings.operator().reserve());
    }
}
