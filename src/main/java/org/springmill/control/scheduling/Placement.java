package org.springmill.control.scheduling;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.springmill.control.cluster.ExhaustedEquivalenceClasses;
import org.springmill.control.cluster.Fleet;
import org.springmill.control.cluster.Job;
import org.springmill.control.cluster.Machine;
import org.springmill.control.cluster.TaskAttempt;
import org.springmill.control.cluster.TeamUsage;
import org.springmill.control.storage.Claim;
import org.springmill.control.timing.Timeouts;
import org.springmill.protocol.Resources;
import org.springmill.protocol.TaskId;

/** Chooses machines for waiting tasks. */
public final class Placement {
    /** For a machine on which the job failed: more than any wait for an image. */
    private static final double AVOIDED_MACHINE_PENALTY_SECONDS = 1e4;

    private final Fleet fleet;
    private final Timeouts timeouts;

    /** Jobs that the last round was full before it came to. */
    private final Set<Job> skippedByFullRound = new HashSet<>();

    private final Reservations reservations;
    private final CapacityFilter capacityFilter;
    private MachineScore score;

    /**
     * @param capacityFilter free room that some jobs may not use
     */
    public Placement(Fleet fleet, Timeouts timeouts, CapacityFilter capacityFilter) {
        this.capacityFilter = capacityFilter;
        this.fleet = fleet;
        this.timeouts = timeouts;
        this.reservations = new Reservations(fleet, timeouts);
        this.score = new MachineScore(timeouts, null);
    }

    /** Jobs with waiting tasks, in the order in which they are served. */
    public List<Job> waiting() {
        List<Job> waiting = new ArrayList<>();
        for (Job job : fleet.clusterState().jobs().values()) {
            if (isWaiting(job)) {
                waiting.add(job);
            }
        }
        Map<Job, Boolean> guaranteed = new HashMap<>();
        waiting.forEach(job -> guaranteed.put(job, usage(job).guaranteedFor(job.spec())));
        waiting.sort(
                Comparator.comparing(Job::priority)
                        .thenComparing(job -> !guaranteed.get(job))
                        .thenComparing(job -> !job.spec().service())
                        .thenComparing(job -> !job.hasRecalledTasks())
                        // Less slack first: all look at the same clock, so the time by which a job
                        // has to start tells.
                        .thenComparingDouble(Job::latestStart)
                        .thenComparingLong(Job::arrival));
        return waiting;
    }

    /** Whether any job waits for a place. */
    boolean anyWaiting() {
        return fleet.clusterState().jobs().values().stream().anyMatch(Placement::isWaiting);
    }

    private static boolean isWaiting(Job job) {
        return job.eligible() && job.nextTask() >= 0;
    }

    public Reservations reservations() {
        return reservations;
    }

    /** The measure by which machines were last compared. */
    public MachineScore score() {
        return score;
    }

    private TeamUsage usage(Job job) {
        return fleet.clusterState().usage(job.spec().team());
    }

    /**
     * Places waiting tasks, at most so many; adds the attempts to the clusterState and returns
     * them.
     */
    List<TaskAttempt> place(long round, int most) {
        double now = fleet.now();
        List<TaskAttempt> placed = new ArrayList<>();
        fleet.clusterState().releaseHeld();
        skippedByFullRound.clear();
        List<Job> waiting = waiting();
        reservations.update(waiting, now);
        if (waiting.isEmpty()) {
            return placed;
        }
        score =
                new MachineScore(
                        timeouts,
                        MachineScore.largestReplica(fleet.clusterState().jobs().values()));
        List<Machine> open = schedulableMachines(now);
        ExhaustedEquivalenceClasses exhausted =
                new ExhaustedEquivalenceClasses(jobsWithReservedCapacity(open, now));
        for (Job job : waiting) {
            if (now < job.failures().notBefore()) {
                continue;
            }
            if (placed.size() >= most && !job.spec().gang()) {
                skippedByFullRound.add(job);
                continue;
            }
            if (!job.spec().gang() && !usage(job).allows(job.spec())) {
                continue;
            }
            if (exhausted.cover(job)) {
                foundNoMachine(job);
                continue;
            }
            MachineRanking ranking =
                    new MachineRanking(open, machine -> placementCost(job, machine, now));
            if (job.spec().gang()) {
                placeGang(job, ranking, round, most, placed);
                continue;
            }
            while (placed.size() < most && job.mayStartAnother() && usage(job).allows(job.spec())) {
                if (!placeNext(job, ranking, round, placed)) {
                    exhausted.add(job);
                    foundNoMachine(job);
                    reservations.reserve(job, open, now);
                    break;
                }
            }
        }
        return placed;
    }

    /** The jobs for which machines keep room that other jobs do not get. */
    public Set<Job> jobsWithReservedCapacity(List<Machine> open, double now) {
        Set<Job> jobs = new HashSet<>(reservations.holders());
        jobs.addAll(capacityFilter.jobsWithReservedCapacity());
        open.forEach(machine -> jobs.addAll(machine.allocation().reservedFor(now)));
        return jobs;
    }

    private void foundNoMachine(Job job) {
        if (job.spec().service()) {
            usage(job).hold(job.spec(), job.waiting());
        }
    }

    /**
     * Whether the last round was full before it came to a job. Nothing shows then that there is no
     * place for it. Ranking all machines for each job of a long queue, of which a round takes the
     * first few, held the leader up for seconds after an outage with two thousand machines.
     */
    public boolean skippedByFullRound(Job job) {
        return skippedByFullRound.contains(job);
    }

    private boolean placeNext(
            Job job, MachineRanking ranking, long round, List<TaskAttempt> placed) {
        Machine machine = machineOfRecalledTask(job);
        if (machine == null) {
            machine = ranking.best();
        }
        if (machine == null) {
            return false;
        }
        Claim claim = Claim.decide(new TaskId(job.id(), job.nextTask()), machine.name(), round);
        TaskAttempt attempt = new TaskAttempt(claim, job, machine, fleet.now());
        fleet.clusterState().add(attempt);
        machine.needsImage(job.spec(), fleet.now());
        placed.add(attempt);
        return true;
    }

    /**
     * A task that was recalled goes back to its machine if that has room and still holds the image;
     * null if it doesn't.
     */
    private Machine machineOfRecalledTask(Job job) {
        Machine machine = job.recalledFrom(job.nextTask());
        boolean usable =
                machine != null
                        && machine.isSchedulable(fleet.now(), timeouts.suspectAfterSeconds())
                        && machine.holdsImage(job.spec().image())
                        && placementCost(job, machine, fleet.now())
                                < AVOIDED_MACHINE_PENALTY_SECONDS;
        return usable ? machine : null;
    }

    /** A gang is claimed in one round, and only when all of its members find a place. */
    private void placeGang(
            Job job, MachineRanking ranking, long round, int most, List<TaskAttempt> placed) {
        if (job.liveCount() > 0 || (!placed.isEmpty() && job.waiting() > most - placed.size())) {
            return;
        }
        List<TaskAttempt> members = new ArrayList<>();
        boolean all = true;
        while (all && job.nextTask() >= 0) {
            all = usage(job).allows(job.spec()) && placeNext(job, ranking, round, members);
        }
        if (all) {
            placed.addAll(members);
        } else {
            members.forEach(attempt -> fleet.clusterState().remove(attempt, fleet.now()));
        }
    }

    /** Machines that take new work. */
    public List<Machine> schedulableMachines(double now) {
        List<Machine> open = new ArrayList<>();
        for (Machine machine : fleet.machines()) {
            if (machine.isSchedulable(now, timeouts.suspectAfterSeconds())) {
                open.add(machine);
            }
        }
        return open;
    }

    /** Whether a job may run on a machine, if there is room. */
    public static boolean isEligible(Job job, Machine machine, double now) {
        return machine.isAllowedFor(job.spec())
                && !job.failures().excludes(machine.name(), now)
                && job.zoneAllows(machine.zone());
    }

    private static double avoidanceCost(Job job, Machine machine, double now) {
        return job.failures().avoids(machine.name(), now) ? AVOIDED_MACHINE_PENALTY_SECONDS : 0;
    }

    /**
     * Work of a team without a guarantee takes what is idle, and not the room that stands ready for
     * others: they would wait until it had given way, longer than many may wait for a start.
     */
    private boolean hasCapacity(Job job, Machine machine) {
        Resources kept = capacityFilter.withheldFrom(job, machine);
        if (!usage(job).hasGuarantee()) {
            kept = kept.plus(machine.allocation().headroom());
        }
        return machine.fitsBeside(kept, job.spec());
    }

    /**
     * A holder of the image first, the fullest of them; then the quickest fetch, and among equals
     * the one with most free room.
     */
    private double placementCost(Job job, Machine machine, double now) {
        return hasCapacity(job, machine)
                        && isEligible(job, machine, now)
                        && !machine.allocation().isReservedForOthers(job, now)
                        && !reservations.reservedFrom(job, machine)
                ? score.of(job, machine, now) + avoidanceCost(job, machine, now)
                : Double.POSITIVE_INFINITY;
    }
}
