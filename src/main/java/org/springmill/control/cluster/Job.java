package org.springmill.control.cluster;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import org.agrona.collections.Int2ObjectHashMap;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.springmill.protocol.PeerMessages.JobProgress;
import org.springmill.protocol.Priority;
import org.springmill.protocol.Submission;

/**
 * A job as the leader knows it: which of its tasks are done, which have an attempt and which wait,
 * its place in the queue, and its failures.
 */
public final class Job {
    private static final Logger LOG = LoggerFactory.getLogger(Job.class);

    private final Submission spec;
    private final long acceptedRevision;
    private long eligibleRevision;
    private Priority priority;
    private double latestStartAt = Double.POSITIVE_INFINITY;
    private final BitSet doneTasks = new BitSet();
    private final Int2ObjectHashMap<TaskAttempt> attemptsByTask = new Int2ObjectHashMap<>();
    private final ArrayDeque<Integer> requeuedTasks = new ArrayDeque<>();
    private final JobFailures failures;

    /** The machines from which waiting tasks were recalled, by task index. */
    private final Int2ObjectHashMap<Machine> recalledFrom = new Int2ObjectHashMap<>();

    private int nextNeverClaimedTask;
    private State state;
    private long version;
    private double endedAt;
    private boolean completionBegun;

    /** The life cycle of a job. Its task attempts have states of their own. */
    enum State {
        /** Some dependency is not done: it takes no resources, and none of its tasks is placed. */
        WAITING,
        /** Its tasks may be placed. */
        ELIGIBLE,
        /** Done or cancelled. */
        ENDED;

        private boolean mayBecome(State next) {
            return (next == ELIGIBLE && this == WAITING) || (next == ENDED && this != ENDED);
        }
    }

    /**
     * An accepted job without attempts.
     *
     * @param version the revision at which it was accepted
     */
    public Job(Submission spec, long version) {
        this.spec = spec;
        this.failures = new JobFailures(spec.id());
        this.state = spec.dependencies().isEmpty() ? State.ELIGIBLE : State.WAITING;
        this.acceptedRevision = version;
        this.eligibleRevision = version;
        this.priority = spec.priority();
        this.version = version;
    }

    /** What its owner submitted. */
    public Submission spec() {
        return spec;
    }

    /** The id that its owner submitted it under. */
    public String id() {
        return spec.id();
    }

    /**
     * Revision at which the job was accepted, or became eligible if it waited: jobs are served in
     * this order.
     */
    public long eligibleRevision() {
        return eligibleRevision;
    }

    /** Revision at which the job was accepted; higher than those of all its dependencies. */
    long acceptedRevision() {
        return acceptedRevision;
    }

    /** The highest of its own priority and those of all its dependents. */
    public Priority priority() {
        return priority;
    }

    /**
     * Time of day in seconds by which it has to start for its pipeline to meet the deadline;
     * infinite without a deadline.
     */
    public double latestStartAt() {
        return latestStartAt;
    }

    /** Called only by {@link ClusterState#rank}, which counts attempts by priority. */
    void rank(Priority derived, double latestStart) {
        priority = derived;
        latestStartAt = latestStart;
    }

    /** Revision of the latest known change of its record. */
    public long version() {
        return version;
    }

    /** When it ended, in seconds on the leader's steady clock; 0 while it is active. */
    public double endedAt() {
        return endedAt;
    }

    /** The only place where its state changes; returns false for a change that is not allowed. */
    private boolean transition(State next) {
        if (!state.mayBecome(next)) {
            LOG.error("{} cannot go from {} to {}", spec.id(), state, next);
            return false;
        }
        LOG.debug("{}: {} -> {}", spec.id(), state, next);
        state = next;
        return true;
    }

    /**
     * Makes it eligible, since all its dependencies are done.
     *
     * @param since revision at which the last of them was done
     */
    public void becomeEligible(long since) {
        if (transition(State.ELIGIBLE)) {
            eligibleRevision = Math.max(eligibleRevision, since);
        }
    }

    /** Whether some dependency is not done. */
    public boolean waitsForDependencies() {
        return state == State.WAITING;
    }

    /** Whether its tasks may be placed. */
    public boolean isEligible() {
        return state == State.ELIGIBLE;
    }

    /** Ends it, whether done or cancelled; its record says which. */
    public void end(long newVersion, double now) {
        if (!transition(State.ENDED)) {
            return;
        }
        version = newVersion;
        endedAt = now;
    }

    /** Whether it is neither done nor cancelled. */
    public boolean isActive() {
        return state != State.ENDED;
    }

    /** A copy of the list of its attempts. */
    public List<TaskAttempt> attempts() {
        return new ArrayList<>(attemptsByTask.values());
    }

    /** How many of its tasks have an attempt. */
    public int attemptCount() {
        return attemptsByTask.size();
    }

    /** How many of its tasks are done. */
    public int doneTaskCount() {
        return doneTasks.cardinality();
    }

    /** How many tasks are done and how many run, for display. */
    public JobProgress progress() {
        int running = 0;
        for (TaskAttempt attempt : attempts()) {
            if (attempt.state() == TaskAttempt.State.RUNNING) {
                running++;
            }
        }
        return new JobProgress(id(), doneTaskCount(), running);
    }

    /** Whether all its tasks are done; never for a service. */
    public boolean isComplete() {
        return !spec.isService() && doneTasks.cardinality() == spec.tasks();
    }

    /** Starts the commit of its end; returns true for the first call only. */
    public boolean beginCompletion() {
        boolean isFirst = !completionBegun;
        completionBegun = true;
        return isFirst;
    }

    /** Records the tasks, by index, that are done. */
    public void markDone(BitSet tasks) {
        doneTasks.or(tasks);
    }

    /** Records that the task of an index is done. */
    public void markDone(int task) {
        doneTasks.set(task);
    }

    /**
     * Index of the next task that is neither done nor claimed, or -1. Tasks that lost their attempt
     * come first, then the others by index.
     */
    public int nextWaitingTask() {
        while (!requeuedTasks.isEmpty()) {
            int task = requeuedTasks.peek();
            if (!doneTasks.get(task) && !attemptsByTask.containsKey(task)) {
                return task;
            }
            requeuedTasks.poll();
        }
        while (nextNeverClaimedTask < spec.tasks()
                && (doneTasks.get(nextNeverClaimedTask)
                        || attemptsByTask.containsKey(nextNeverClaimedTask))) {
            nextNeverClaimedTask++;
        }
        return nextNeverClaimedTask < spec.tasks() ? nextNeverClaimedTask : -1;
    }

    /** How many of its tasks are neither done nor claimed; 0 unless it is eligible. */
    public int waitingTaskCount() {
        return isEligible() ? spec.tasks() - doneTasks.cardinality() - unfinishedAttemptCount() : 0;
    }

    private int unfinishedAttemptCount() {
        int count = 0;
        for (TaskAttempt attempt : attemptsByTask.values()) {
            if (!doneTasks.get(attempt.claim().task().index())) {
                count++;
            }
        }
        return count;
    }

    void add(TaskAttempt attempt) {
        attemptsByTask.put(attempt.claim().task().index(), attempt);
        recalledFrom.remove(attempt.claim().task().index());
    }

    void remove(TaskAttempt attempt) {
        int task = attempt.claim().task().index();
        if (attemptsByTask.remove(task) != null) {
            requeuedTasks.add(task);
            if (attempt.isRecalled() && isActive()) {
                recalledFrom.put(task, attempt.machine());
            }
        }
    }

    /** Whether tasks that were stopped by a recall wait for a new attempt. */
    public boolean hasRecalledTasks() {
        return !recalledFrom.isEmpty();
    }

    /** The machine from which a waiting task was recalled; null if none was. */
    public Machine recalledFrom(int task) {
        return recalledFrom.get(task);
    }

    /**
     * Whether one more task may be placed in a zone, given the zones of all attempts that may still
     * run. The zone of a machine without a description is unknown: an attempt there counts for
     * every zone, and rules out every zone for a job that has to run in one zone.
     */
    public boolean allowsZone(String zone) {
        if (spec.zone() != null && !spec.zone().equals(zone)) {
            return false;
        }
        if (!spec.oneZone() && !spec.spread()) {
            return true;
        }
        int inZone = 0;
        for (TaskAttempt attempt : attemptsByTask.values()) {
            String other = attempt.machine().zone();
            if (other.isEmpty() || other.equals(zone)) {
                inZone++;
            }
            if (spec.oneZone() && !other.equals(zone)) {
                return false;
            }
        }
        return inZone < spec.maxTasksPerZone();
    }

    /** The machines of attempts that are not known to have ended, in the order of their names. */
    public List<String> machinesOfLiveAttempts() {
        return attemptsByTask.values().stream()
                .filter(TaskAttempt::mayBeOnMachine)
                .map(attempt -> attempt.machine().name())
                .distinct()
                .sorted()
                .toList();
    }

    /** How many of its attempts are in a zone. */
    public int attemptsInZone(String zone) {
        int inZone = 0;
        for (TaskAttempt attempt : attemptsByTask.values()) {
            if (attempt.machine().zone().equals(zone)) {
                inZone++;
            }
        }
        return inZone;
    }

    /** Its failed tasks, and the limits that result from them. */
    public JobFailures failures() {
        return failures;
    }

    /** Whether a task is waiting and the limit on concurrent tasks allows it to start. */
    public boolean canStartAnotherTask() {
        return nextWaitingTask() >= 0 && attemptsByTask.size() < maxConcurrentTasks();
    }

    /** How many of its waiting tasks the limit on concurrent tasks allows to start. */
    public int startableTaskCount() {
        return Math.min(
                waitingTaskCount(), Math.max(0, maxConcurrentTasks() - attemptsByTask.size()));
    }

    /** No limit for gangs, whose tasks start together, and services, which need all replicas. */
    private int maxConcurrentTasks() {
        return spec.isGang() || spec.isService()
                ? Integer.MAX_VALUE
                : failures.maxConcurrentTasks();
    }
}
