package org.springmill.control.scheduling;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.springmill.control.cluster.Fleet;
import org.springmill.control.cluster.Job;
import org.springmill.control.cluster.Machine;
import org.springmill.control.cluster.TaskAttempt;
import org.springmill.control.timing.Timeouts;

/** Assigns waiting tasks to machines, a round at a time. */
public final class Placement {
    private final Fleet fleet;
    private final Timeouts timeouts;
    private final WaitingJobs waitingJobs;
    private final Reservations reservations;
    private final CapacityFilter capacityFilter;

    /** Jobs that the last round did not consider, since it was full before their turn. */
    private Set<Job> skippedByFullRound = Set.of();

    private MachineScore score;

    /**
     * Creates the placement of one leader's term.
     *
     * @param capacityFilter excludes free capacity that a job may not use
     */
    public Placement(Fleet fleet, Timeouts timeouts, CapacityFilter capacityFilter) {
        this.capacityFilter = capacityFilter;
        this.fleet = fleet;
        this.timeouts = timeouts;
        this.waitingJobs = new WaitingJobs(fleet.clusterState());
        this.reservations = new Reservations(fleet, timeouts);
        this.score = new MachineScore(timeouts, null);
    }

    /** Jobs with waiting tasks, in the order in which they are scheduled; the list is a copy. */
    public List<Job> waitingJobs() {
        return waitingJobs.inSchedulingOrder();
    }

    /** Whether any job has a task to place. */
    boolean hasWaitingTasks() {
        return waitingJobs.hasWaitingTasks();
    }

    /** The machines reserved for jobs that waited too long. */
    public Reservations reservations() {
        return reservations;
    }

    /** The score by which the last round compared machines. */
    public MachineScore score() {
        return score;
    }

    /**
     * Places waiting tasks and adds their attempts to the cluster state.
     *
     * @param round number of the round
     * @param limit how many tasks the round may place
     * @return the attempts that were added
     */
    List<TaskAttempt> place(long round, int limit) {
        double now = fleet.now();
        // The pass reserves parts of the teams' limits anew, for replicas that it cannot place.
        fleet.clusterState().releaseLimitReservations();
        skippedByFullRound = Set.of();
        List<Job> waiting = waitingJobs();
        reservations.update(waiting, now);
        if (waiting.isEmpty()) {
            return List.of();
        }
        score =
                new MachineScore(
                        timeouts,
                        MachineScore.largestReplica(fleet.clusterState().jobs().values()));
        PlacementPass pass = newPass(round, limit, now);
        waiting.forEach(pass::place);
        skippedByFullRound = pass.skipped();
        return pass.placed();
    }

    private PlacementPass newPass(long round, int limit, double now) {
        List<Machine> machines = schedulableMachines(now);
        return new PlacementPass(
                fleet,
                timeouts,
                reservations,
                new PlacementCost(fleet.clusterState(), capacityFilter, reservations, score),
                new PlacementPass.Round(round, limit, machines, now),
                jobsWithReservedCapacity(machines, now));
    }

    /** The jobs for which machines reserve capacity that other jobs may not use. */
    public Set<Job> jobsWithReservedCapacity(List<Machine> machines, double now) {
        Set<Job> jobs = new HashSet<>(reservations.jobsWithReservation());
        jobs.addAll(capacityFilter.jobsWithReservedCapacity());
        machines.forEach(machine -> jobs.addAll(machine.allocation().reservedFor(now)));
        return jobs;
    }

    /**
     * Whether the last round was full before it reached a job. It is then unknown whether a machine
     * fits the job, so no task is preempted for it. A full round does not rank the machines for the
     * rest of the queue: after an outage with two thousand machines, ranking them for every job of
     * a long queue, of which a round places only the first few, blocked the leader for seconds.
     */
    public boolean wasSkippedByFullRound(Job job) {
        return skippedByFullRound.contains(job);
    }

    /** Machines that take new tasks, in the order of the fleet. */
    public List<Machine> schedulableMachines(double now) {
        List<Machine> schedulable = new ArrayList<>();
        for (Machine machine : fleet.machines()) {
            if (machine.isSchedulable(now, timeouts.suspectAfterSeconds())) {
                schedulable.add(machine);
            }
        }
        return schedulable;
    }

    /** Whether a job may run on a machine, given that the machine has enough capacity. */
    public static boolean isEligible(Job job, Machine machine, double now) {
        return machine.isAllowedFor(job.spec())
                && !job.failures().excludes(machine.name(), now)
                && job.allowsZone(machine.zone());
    }
}
