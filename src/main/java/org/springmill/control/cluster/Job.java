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
import org.springmill.protocol.UserMessages.JobPhase;

/** A job as its leader sees it: which tasks are done, which are claimed, which wait. */
public final class Job {
    private static final Logger LOG = LoggerFactory.getLogger(Job.class);

    private final Submission spec;
    private final long acceptedRevision;
    private long arrival;
    private Priority priority;
    private double latestStart = Double.POSITIVE_INFINITY;
    private final BitSet doneTasks = new BitSet();
    private final Int2ObjectHashMap<TaskAttempt> attemptsByTask = new Int2ObjectHashMap<>();
    private final ArrayDeque<Integer> requeuedTasks = new ArrayDeque<>();
    private final JobFailures failures;

    /** Machines from which waiting tasks were recalled. */
    private final Int2ObjectHashMap<Machine> recalledFrom = new Int2ObjectHashMap<>();

    private int nextNeverClaimedTask;
    private State state;
    private JobPhase phase = JobPhase.QUEUED;
    private long version;
    private double endedAt;
    private boolean completionBegun;

    /** How far a job is on its way. Its tasks have states of their own. */
    enum State {
        /**
         * Some job that it needs is not done: it takes nothing, asks for nothing and no task of it
         * is placed.
         */
        WAITING,
        /** Its tasks may be placed. */
        ELIGIBLE,
        /** Done or cancelled. */
        ENDED;

        private boolean mayBecome(State next) {
            return (next == ELIGIBLE && this == WAITING) || (next == ENDED && this != ENDED);
        }
    }

    public Job(Submission spec, long version) {
        this.spec = spec;
        this.failures = new JobFailures(spec.id());
        this.state = spec.dependencies().isEmpty() ? State.ELIGIBLE : State.WAITING;
        this.acceptedRevision = version;
        this.arrival = version;
        this.priority = spec.priority();
        this.version = version;
    }

    public Submission spec() {
        return spec;
    }

    public String id() {
        return spec.id();
    }

    /**
     * Revision at which the job was accepted, or became eligible if it waited: jobs are served in
     * this order.
     */
    public long arrival() {
        return arrival;
    }

    /** Revision at which the job was accepted: later than those of all that it needs. */
    long acceptedRevision() {
        return acceptedRevision;
    }

    /** The highest of its own priority and those of all that need it. */
    public Priority priority() {
        return priority;
    }

    /**
     * Time of day by which it has to start for its chain to keep the deadline; infinite if there is
     * none.
     */
    public double latestStart() {
        return latestStart;
    }

    /** Only through {@link ClusterState#rank}, which counts what runs by priority. */
    void rank(Priority derived, double startBy) {
        priority = derived;
        latestStart = startBy;
    }

    public long version() {
        return version;
    }

    JobPhase phase() {
        return phase;
    }

    public double endedAt() {
        return endedAt;
    }

    /** The one place where its state changes; false if the change is not a legal one. */
    private boolean transition(State next) {
        if (!state.mayBecome(next)) {
            LOG.error("{} cannot go from {} to {}", spec.id(), state, next);
            return false;
        }
        LOG.debug("{}: {} -> {}", spec.id(), state, next);
        state = next;
        return true;
    }

    /** All that it needs is done, since a revision from which on its times count. */
    public void becomeEligible(long since) {
        if (transition(State.ELIGIBLE)) {
            arrival = Math.max(arrival, since);
        }
    }

    public boolean waitsForOthers() {
        return state == State.WAITING;
    }

    public boolean eligible() {
        return state == State.ELIGIBLE;
    }

    public void end(JobPhase terminal, long newVersion, double now) {
        if (!transition(State.ENDED)) {
            return;
        }
        phase = terminal;
        version = newVersion;
        endedAt = now;
    }

    public boolean active() {
        return state != State.ENDED;
    }

    public List<TaskAttempt> attempts() {
        return new ArrayList<>(attemptsByTask.values());
    }

    public int liveCount() {
        return attemptsByTask.size();
    }

    public int doneCount() {
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
        return new JobProgress(id(), doneCount(), running);
    }

    public boolean complete() {
        return !spec.service() && doneTasks.cardinality() == spec.tasks();
    }

    /** True once, when the job is found complete. */
    public boolean beginEnding() {
        boolean first = !completionBegun;
        completionBegun = true;
        return first;
    }

    public void markDone(BitSet tasks) {
        doneTasks.or(tasks);
    }

    public void markDone(int task) {
        doneTasks.set(task);
    }

    /**
     * The next task that is neither done nor claimed, or -1. Tasks come in order, those given back
     * first.
     */
    public int nextTask() {
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

    public int waiting() {
        return eligible() ? spec.tasks() - doneTasks.cardinality() - unfinishedAttemptCount() : 0;
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
            if (attempt.recalled() && active()) {
                recalledFrom.put(task, attempt.machine());
            }
        }
    }

    /** Whether tasks that were recalled wait to go on. */
    public boolean hasRecalledTasks() {
        return !recalledFrom.isEmpty();
    }

    /** The machine from which a waiting task was recalled; null if it was not. */
    public Machine recalledFrom(int task) {
        return recalledFrom.get(task);
    }

    TaskAttempt attempt(int task) {
        return attemptsByTask.get(task);
    }

    /**
     * Whether one more task may go to a zone, counting every task not proven gone. Where a task's
     * machine is not yet known to this leader, the task counts in every zone.
     */
    public boolean zoneAllows(String zone) {
        if (spec.zone() != null && !spec.zone().equals(zone)) {
            return false;
        }
        if (!spec.oneZone() && !spec.spread()) {
            return true;
        }
        int here = 0;
        for (TaskAttempt attempt : attemptsByTask.values()) {
            String other = attempt.machine().zone();
            if (other.isEmpty() || other.equals(zone)) {
                here++;
            }
            if (spec.oneZone() && !other.equals(zone)) {
                return false;
            }
        }
        return here < spec.perZone();
    }

    public int inZone(String zone) {
        int here = 0;
        for (TaskAttempt attempt : attemptsByTask.values()) {
            if (attempt.machine().zone().equals(zone)) {
                here++;
            }
        }
        return here;
    }

    /** What its failed tasks say of the job. */
    public JobFailures failures() {
        return failures;
    }

    /** Whether a task waits, and may be started now. */
    public boolean mayStartAnother() {
        return nextTask() >= 0 && attemptsByTask.size() < maxConcurrentTasks();
    }

    /** How many of its waiting tasks may be started now. */
    public int startable() {
        return Math.min(waiting(), Math.max(0, maxConcurrentTasks() - attemptsByTask.size()));
    }

    /** All members of a gang start together, and all replicas of a service are owed. */
    private int maxConcurrentTasks() {
        return spec.gang() || spec.service() ? Integer.MAX_VALUE : failures.maxConcurrentTasks();
    }
}
