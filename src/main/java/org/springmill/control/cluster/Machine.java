package org.springmill.control.cluster;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.event.Level;
import org.springmill.protocol.CloudMessages.MachineType;
import org.springmill.protocol.Resources;
import org.springmill.protocol.Submission;
import org.springmill.protocol.WorkerMessages.Heartbeat;
import org.springmill.protocol.WorkerMessages.TaskStatus;

/**
 * A rented machine as one leader knows it: its life cycle, its description, its task attempts, and
 * what is known from the messages exchanged with its worker. Times are seconds on the leader's
 * steady clock.
 */
public final class Machine {
    private static final Logger LOG = LoggerFactory.getLogger(Machine.class);

    /** The life cycle of a machine. */
    public enum State {
        /** Rented or listed; its worker has sent no heartbeat to this leader. */
        PROVISIONING,
        /** Its worker has sent a heartbeat and may hold a lease. */
        UP,
        /** No lease of its worker can still be valid: none of its tasks runs any more. */
        LEASE_EXPIRED,
        /** Its deletion was requested. */
        TERMINATING,
        /** Deleted, or failed on its own. */
        TERMINATED;

        private boolean mayBecome(State next) {
            return switch (next) {
                case PROVISIONING -> false;
                case UP -> this == PROVISIONING || this == LEASE_EXPIRED;
                case LEASE_EXPIRED -> this == UP || this == PROVISIONING;
                case TERMINATING -> this != TERMINATED;
                case TERMINATED -> true;
            };
        }
    }

    private final String name;
    private final ImageCache images = new ImageCache();
    private final MachineAllocation allocation = new MachineAllocation();
    private final MachineFaults faults = new MachineFaults();
    private final WorkerLiveness liveness = new WorkerLiveness();
    private final MachineTasks tasks;
    private final CommandChannel commandChannel = new CommandChannel();
    private final WorkerEpoch workerEpoch;
    private final double firstSeenAt;
    private MachineDescription description = MachineDescription.UNKNOWN;
    private State state = State.PROVISIONING;
    private double rentedAt;
    private boolean isListedAsBooted;
    private double listedAt = Double.NEGATIVE_INFINITY;
    private double preemptionAt = Double.POSITIVE_INFINITY;
    private boolean isDraining;

    /**
     * A machine that this leader did not know before.
     *
     * @param term of the leader, to which the worker's fencing tokens belong
     */
    public Machine(String name, long term, double now) {
        this.name = name;
        workerEpoch = new WorkerEpoch(term);
        this.firstSeenAt = now;
        this.rentedAt = now;
        tasks = new MachineTasks(allocation, images, now);
    }

    /** The name that the cloud gave it. */
    public String name() {
        return name;
    }

    /** Its state in the life cycle. */
    public State state() {
        return state;
    }

    /**
     * The only place where a machine's state changes. A change to the same state does nothing; one
     * that {@link State} does not allow is logged as an error and not made.
     */
    public void transition(State next) {
        if (state == next) {
            return;
        }
        if (!state.mayBecome(next)) {
            LOG.error("machine {} cannot go from {} to {}", name, state, next);
            return;
        }
        // UP is logged at debug level only: after a failover all machines come up at the same time,
        // when the leader is busiest.
        LOG.atLevel(next == State.UP ? Level.DEBUG : Level.INFO)
                .log("machine {} ({}): {} -> {}", name, description, state, next);
        state = next;
    }

    /**
     * Sets the description that the cloud or the worker gives of the machine.
     *
     * @param newType null if the cloud does not offer a type of that name
     */
    public void describe(String newAddress, MachineType newType, String newZone, boolean newSpot) {
        description = new MachineDescription(newAddress, newType, newZone, newSpot);
        allocation.setCapacity(newType);
    }

    /** Records that another machine has its address now. */
    void clearAddress() {
        describe("", type(), zone(), spot());
    }

    /** Address of its worker; empty while unknown. */
    public String address() {
        return description.address();
    }

    /** Its machine type; null while unknown. */
    public MachineType type() {
        return description.type();
    }

    /** The zone that it is in; empty while unknown. */
    public String zone() {
        return description.zone();
    }

    /** Whether the cloud may take it back at short notice. */
    public boolean spot() {
        return description.spot();
    }

    /** When this leader first learned of it. */
    public double firstSeenAt() {
        return firstSeenAt;
    }

    /** When it was rented; if unknown, when this leader first learned of it. */
    public double rentedAt() {
        return rentedAt;
    }

    /**
     * Whether it is provisioning and nothing shows that it has booted: the cloud has not listed it
     * as running or failed, and it has no attempt.
     */
    public boolean isBooting() {
        return state == State.PROVISIONING && !isListedAsBooted && tasks.attempts().isEmpty();
    }

    /** Records that the cloud's list names it. */
    public void recordListed(double now) {
        listedAt = now;
    }

    /** Records when the cloud's list says it was rented; the earliest known time is kept. */
    public void rentedAt(double time) {
        rentedAt = Math.min(rentedAt, time);
    }

    /** Records that the cloud lists it as running or failed, so its boot is over. */
    public void markListedAsBooted() {
        isListedAsBooted = true;
    }

    /** When the cloud's list last named it; negative infinity for never. */
    public double listedAt() {
        return listedAt;
    }

    /** When its last attempt was removed; if it never had one, when this leader learned of it. */
    public double idleSince() {
        return tasks.idleSince();
    }

    /** The state of sending commands to its worker. */
    public CommandChannel commandChannel() {
        return commandChannel;
    }

    /** Epoch, sequence number and fencing tokens of its worker. */
    public WorkerEpoch workerEpoch() {
        return workerEpoch;
    }

    /** The fencing token that commands to its worker carry. */
    public long fencingToken() {
        return workerEpoch.fencingToken();
    }

    /** The latest epoch in its worker's heartbeats; a new one begins when a lease has expired. */
    public long epoch() {
        return workerEpoch.epoch();
    }

    /** Accepts a heartbeat that is newer than all before. */
    public void acceptHeartbeat(Heartbeat heartbeat, HeartbeatSource source, double now) {
        workerEpoch.accept(heartbeat, now);
        if (state == State.PROVISIONING) {
            // Commands fail while a machine boots. If these failures still counted, the machine
            // would not be schedulable and the leader would rent another one.
            faults.commandsSucceeded();
        }
        liveness.heartbeatReceived(source, now);
        tasks.reported(heartbeat.tasks());
        preemptionAt =
                heartbeat.preemptionNoticeSeconds() == null
                        ? Double.POSITIVE_INFINITY
                        : now + heartbeat.preemptionNoticeSeconds();
    }

    /** The tasks in its latest heartbeat. */
    public List<TaskStatus> reportedTasks() {
        return tasks.reported();
    }

    /**
     * Whether every reported task is known to have an attempt, and neither reports nor attempts
     * have changed since: another comparison would find nothing new.
     */
    public boolean areReportedTasksKnown() {
        return tasks.areReportedKnown();
    }

    /** Records that every reported task has an attempt in the cluster state. */
    public void markReportedTasksKnown() {
        tasks.markReportedKnown();
    }

    /** When heartbeats of its worker arrived and were answered. */
    public WorkerLiveness liveness() {
        return liveness;
    }

    /**
     * Whether its heartbeats have been answered for longer than {@code forSeconds} but none has
     * shown a token of this term: the answers do not reach it.
     */
    public boolean missesResponses(double now, double forSeconds) {
        return !hasSeenCurrentTerm() && liveness.isAnsweredForLongerThan(forSeconds, now);
    }

    /** Whether its latest heartbeat carries a spot preemption notice. */
    public boolean hasPreemptionNotice() {
        return preemptionAt < Double.POSITIVE_INFINITY;
    }

    /** When the cloud will take it back; infinite without a notice. */
    public double preemptionAt() {
        return preemptionAt;
    }

    /** Records that a request with commands failed. */
    public void commandsFailed() {
        faults.commandsFailed();
    }

    /** Records that a request with commands was answered. */
    public void commandsSucceeded() {
        faults.commandsSucceeded();
    }

    /** Whether the latest request with commands failed. */
    public boolean areCommandsFailing() {
        return faults.areCommandsFailing();
    }

    /** Cordons it: no new work is placed on it before the given time. */
    public void cordonUntil(double time) {
        faults.cordonUntil(time);
    }

    /**
     * Whether the machine is taken to be faulty: tasks of several jobs failed on it, and no task
     * has succeeded since. Jobs that are taken to be at fault themselves do not count.
     */
    public boolean isQuarantined() {
        return faults.isQuarantined();
    }

    /** Whether its tasks are being evicted so that it can be scaled in. */
    public boolean isDraining() {
        return isDraining;
    }

    /** Starts the drain, which cannot be cancelled. */
    public void drain() {
        isDraining = true;
    }

    /** Records that a task of a job failed on it. */
    public void taskFailed(Job job) {
        faults.taskFailed(job);
    }

    /** Records that a task succeeded on it. */
    public void taskSucceeded() {
        faults.taskSucceeded();
    }

    /** A live view of its attempts, in the order in which they were added. */
    public Collection<TaskAttempt> attempts() {
        return tasks.attempts();
    }

    /** A copy of {@link #attempts}, for loops that change them. */
    public List<TaskAttempt> attemptsSnapshot() {
        return new ArrayList<>(tasks.attempts());
    }

    /** The attempt that a reported task belongs to; null if there is none. */
    public TaskAttempt findAttempt(TaskStatus task) {
        return tasks.findAttempt(task);
    }

    /** Adds an attempt and allocates its resources. */
    public void add(TaskAttempt attempt) {
        tasks.add(attempt);
    }

    /**
     * Frees the resources of an attempt before its end is committed: the same transaction commits
     * its end and the claims that use its resources. The heartbeats carry it for longer.
     */
    public void releaseResources(TaskAttempt attempt) {
        tasks.releaseResources(attempt);
    }

    void remove(TaskAttempt attempt, double now) {
        tasks.remove(attempt, liveness.lastHeartbeatAt(), now);
    }

    /** CPUs that are not allocated to attempts. */
    public double freeCpus() {
        return free().cpus();
    }

    /** GPUs that are not allocated to attempts. */
    public double freeGpus() {
        return free().gpus();
    }

    /** Resources that are not allocated to attempts; none while the type is unknown. */
    public Resources free() {
        return allocation.free();
    }

    /** Its used and reserved resources. */
    public MachineAllocation allocation() {
        return allocation;
    }

    /** Whether a task fits into the free resources minus those that it may not use. */
    public boolean fitsExcluding(Resources excluded, Submission spec) {
        Resources left = excluded.equals(Resources.NONE) ? free() : free().minus(excluded);
        return left.canFit(spec);
    }

    /** Whether its type, zone and spot flag allow the job. */
    public boolean isAllowedFor(Submission spec) {
        return description.isAllowedFor(spec);
    }

    /**
     * Whether new work may be placed on it.
     *
     * @param suspectAfterSeconds a worker without a heartbeat for this long gets no new work
     */
    public boolean isSchedulable(double now, double suspectAfterSeconds) {
        return state == State.UP
                && !hasPreemptionNotice()
                && !isQuarantined()
                && !isDraining
                && !liveness.isRenewalOverdue()
                && !areCommandsFailing()
                && now - liveness.lastHeartbeatAt() < suspectAfterSeconds
                && !faults.isCordoned(now)
                && hasSeenCurrentTerm();
    }

    /**
     * Whether its worker sends heartbeats in its first epoch and has not yet seen a leader's token:
     * it becomes schedulable soon. A worker that reaches no leader begins its next epoch within a
     * lease.
     */
    public boolean hasJustBooted() {
        return state == State.UP && workerEpoch.hasSeenNoLeader() && !areCommandsFailing();
    }

    /** Whether its worker has shown a fencing token of this term. */
    public boolean hasSeenCurrentTerm() {
        return workerEpoch.hasSeenCurrentTerm();
    }

    /** Records that a task that starts on it needs its image. */
    public void recordImageNeeded(Submission spec, double now) {
        images.recordNeeded(
                spec.image(),
                spec.imageGb(),
                description.cacheGb(),
                description.fetchGbPerSecond(),
                now);
    }

    /** Records that a task runs on it, so that the task's image is in the cache. */
    public void recordImageUsed(Submission spec, double now) {
        images.recordUsed(spec.image(), spec.imageGb(), description.cacheGb(), now);
    }

    /**
     * Estimated wait of a task for its image, in seconds. A missing image costs one second on top
     * of its fetch; the other steps of a start take less than a second.
     */
    public double imageFetchSeconds(Submission spec, double now) {
        return (images.holds(spec.image()) ? 0 : 1)
                + images.fetchWaitSeconds(
                        spec.image(), spec.imageGb(), description.fetchGbPerSecond(), now);
    }

    /** Whether an image is in its cache or being fetched. */
    public boolean holdsImage(String image) {
        return images.holds(image);
    }

    /** The estimated content of its image cache. */
    public ImageCache images() {
        return images;
    }
}
