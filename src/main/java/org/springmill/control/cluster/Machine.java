package org.springmill.control.cluster;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.event.Level;
import org.springmill.protocol.CloudMessages.MachineType;
import org.springmill.protocol.Resources;
import org.springmill.protocol.Submission;
import org.springmill.protocol.TaskId;
import org.springmill.protocol.WorkerMessages.Heartbeat;
import org.springmill.protocol.WorkerMessages.TaskStatus;

/** A rented machine with its worker, its attempts and what this leader's messages with it prove. */
public final class Machine {
    private static final Logger LOG = LoggerFactory.getLogger(Machine.class);

    /** A machine on which so many jobs failed in a row is taken to be faulty. */
    private static final int FAULTY_AFTER_JOBS = 2;

    public enum State {
        /** Rented or listed; its worker has not reported to this leader. */
        PROVISIONING,
        UP,
        /** No lease of its worker can still hold: whatever it ran is gone. */
        LEASE_EXPIRED,
        /** Its deletion was asked for. */
        TERMINATING,
        /** Deleted, or failed on its own. */
        TERMINATED
    }

    private final String name;
    private final Map<TaskId, TaskAttempt> attempts = new LinkedHashMap<>();
    private final ImageCache images = new ImageCache();
    private final Set<Job> failedJobs = new HashSet<>();
    private State state = State.PROVISIONING;
    private String address = "";
    private MachineType type;
    private String zone = "";
    private boolean spot;
    private final WorkerEpoch workerEpoch;
    private final MachineAllocation allocation = new MachineAllocation();
    private double lastHeartbeatAnsweredAt = Double.NEGATIVE_INFINITY;
    private double answeredSince;
    private double lastHeartbeatAt = Double.NEGATIVE_INFINITY;
    private double firstSeen;
    private double rentedAt;
    private boolean listedAsRunning;
    private double listedAt = Double.NEGATIVE_INFINITY;
    private double idleSince;
    private double preemptionAt = Double.POSITIVE_INFINITY;
    private boolean commandsFailing;
    private double cordonUntil = Double.NEGATIVE_INFINITY;
    private List<TaskStatus> reportedTasks = List.of();
    private boolean reportedTasksAllKnown = true;
    private boolean draining;
    private final CommandChannel commandChannel = new CommandChannel();

    public Machine(String name, long term, double now) {
        this.name = name;
        workerEpoch = new WorkerEpoch(term);
        this.firstSeen = now;
        this.rentedAt = now;
        this.idleSince = now;
    }

    public String name() {
        return name;
    }

    public State state() {
        return state;
    }

    /** The one place where a machine's state changes. */
    public void transition(State next) {
        boolean legal =
                switch (next) {
                    case PROVISIONING -> false;
                    case UP -> state == State.PROVISIONING || state == State.LEASE_EXPIRED;
                    case LEASE_EXPIRED -> state == State.UP || state == State.PROVISIONING;
                    case TERMINATING -> state != State.TERMINATED;
                    case TERMINATED -> true;
                };
        if (state == next) {
            return;
        }
        if (!legal) {
            LOG.error("machine {} cannot go from {} to {}", name, state, next);
            return;
        }
        // After a takeover all machines come up at once, when there is least time to spare for
        // telling of it.
        LOG.atLevel(next == State.UP ? Level.DEBUG : Level.INFO)
                .log(
                        "machine {} ({} {}{}): {} -> {}",
                        name,
                        type == null ? "?" : type.name(),
                        zone,
                        spot ? " spot" : "",
                        state,
                        next);
        state = next;
    }

    public void describe(String newAddress, MachineType newType, String newZone, boolean newSpot) {
        address = newAddress;
        type = newType;
        allocation.capacity(newType);
        zone = newZone;
        spot = newSpot;
    }

    public String address() {
        return address;
    }

    public MachineType type() {
        return type;
    }

    public String zone() {
        return zone;
    }

    public boolean spot() {
        return spot;
    }

    public double firstSeen() {
        return firstSeen;
    }

    /** When it was rented; no later than when this leader first heard of it. */
    public double rentedAt() {
        return rentedAt;
    }

    /** Whether it has not come up as far as the cloud's lists and its worker tell. */
    public boolean isBooting() {
        return state == State.PROVISIONING && !listedAsRunning && attempts.isEmpty();
    }

    public void listed(double now) {
        listedAt = now;
    }

    /** Notes that a list tells how long ago it had been rented. */
    public void rentedAt(double time) {
        rentedAt = Math.min(rentedAt, time);
    }

    /** Notes that a list names it as up: its silence is no sign of a slow boot. */
    public void listedAsRunning() {
        listedAsRunning = true;
    }

    public double listedAt() {
        return listedAt;
    }

    public double idleSince() {
        return idleSince;
    }

    /** How far the sending of commands to its worker is. */
    public CommandChannel commandChannel() {
        return commandChannel;
    }

    /** How far the messages exchanged with its worker have come. */
    public WorkerEpoch workerEpoch() {
        return workerEpoch;
    }

    public long fencingToken() {
        return workerEpoch.fencingToken();
    }

    public long epoch() {
        return workerEpoch.epoch();
    }

    /** Takes in a worker's message that is newer than any before. */
    public void acceptHeartbeat(Heartbeat heartbeat, double now) {
        workerEpoch.accept(heartbeat, now);
        if (state == State.PROVISIONING) {
            // Commands of a new leader failed while it booted. Counted against it once it was up,
            // they had another machine rented in its place.
            commandsFailing = false;
        }
        lastHeartbeatAt = now;
        reportedTasks = heartbeat.tasks();
        reportedTasksAllKnown = false;
        preemptionAt =
                heartbeat.preemptionNoticeSeconds() == null
                        ? Double.POSITIVE_INFINITY
                        : now + heartbeat.preemptionNoticeSeconds();
    }

    public List<TaskStatus> reportedTasks() {
        return reportedTasks;
    }

    /**
     * Whether every reported task was found to have an attempt, and neither has changed since.
     * Looking again would find nothing new.
     */
    public boolean reportedTasksAllKnown() {
        return reportedTasksAllKnown;
    }

    /** Notes that every reported task has an attempt here. */
    public void markReportedTasksKnown() {
        reportedTasksAllKnown = true;
    }

    /**
     * Records that a heartbeat of its worker was answered.
     *
     * @param leaseSeconds after a longer silence its worker begins anew with this leader
     */
    public void heartbeatAnswered(double now, double leaseSeconds) {
        if (now - lastHeartbeatAnsweredAt > 2 * leaseSeconds) {
            answeredSince = now;
        }
        lastHeartbeatAnsweredAt = now;
    }

    /**
     * Whether it was answered again and again for so long and has shown no token of this term: it
     * does not hear.
     */
    public boolean missesResponses(double now, double forSeconds) {
        return !hasSeenCurrentTerm()
                && lastHeartbeatAnsweredAt > Double.NEGATIVE_INFINITY
                && now - answeredSince > forSeconds;
    }

    public double lastHeartbeatAnsweredAt() {
        return lastHeartbeatAnsweredAt;
    }

    public double lastHeartbeatAt() {
        return lastHeartbeatAt;
    }

    public boolean hasPreemptionNotice() {
        return preemptionAt < Double.POSITIVE_INFINITY;
    }

    public double preemptionAt() {
        return preemptionAt;
    }

    public void commandsFailed() {
        commandsFailing = true;
    }

    public void commandsSucceeded() {
        commandsFailing = false;
    }

    public boolean commandsFailing() {
        return commandsFailing;
    }

    public void cordonUntil(double time) {
        cordonUntil = Math.max(cordonUntil, time);
    }

    /**
     * Whether the machine is at fault for what failed here: several jobs did, none has succeeded
     * since, and they are not known to fail everywhere. It is judged anew each time, for a job may
     * only later be found to be at fault itself.
     */
    public boolean quarantined() {
        return !failedJobs.isEmpty()
                && failedJobs.stream().filter(job -> !job.failures().isSuspect()).count()
                        >= FAULTY_AFTER_JOBS;
    }

    public boolean draining() {
        return draining;
    }

    public void drain() {
        draining = true;
    }

    /** Notes that a task of a job failed here. */
    public void taskFailed(Job job) {
        failedJobs.add(job);
    }

    /** Notes that a task succeeded here. */
    public void taskSucceeded() {
        failedJobs.clear();
    }

    public Collection<TaskAttempt> attempts() {
        return attempts.values();
    }

    public List<TaskAttempt> attemptsNow() {
        return new ArrayList<>(attempts.values());
    }

    public TaskAttempt find(TaskStatus task) {
        TaskAttempt attempt = attempts.get(task.task());
        return attempt != null && attempt.claim().round() == task.attempt() ? attempt : null;
    }

    public void add(TaskAttempt attempt) {
        reportedTasksAllKnown = false;
        attempts.put(attempt.claim().task(), attempt);
        allocation.charge(attempt.job().spec(), 1);
    }

    /**
     * Counts the room of an attempt as free from now on, since one transaction commits its end and
     * the claims that use its room.
     */
    public void release(TaskAttempt attempt) {
        if (!attempt.released() && attempts.get(attempt.claim().task()) == attempt) {
            attempt.markReleased();
            allocation.charge(attempt.job().spec(), -1);
        }
    }

    void remove(TaskAttempt attempt, double now) {
        if (attempts.remove(attempt.claim().task(), attempt)) {
            reportedTasksAllKnown = false;
            if (!attempt.released()) {
                allocation.charge(attempt.job().spec(), -1);
            }
            String image = attempt.job().spec().image();
            if (attempt.runningSince() == 0
                    && attempts.values().stream()
                            .noneMatch(a -> a.job().spec().image().equals(image))) {
                images.cancelFetch(image, now);
            }
            if (attempts.isEmpty()) {
                idleSince = now;
                allocation.reset();
            }
        }
    }

    public double freeCpus() {
        return free().cpus();
    }

    public double freeGpus() {
        return free().gpus();
    }

    /** What no task here takes. */
    public Resources free() {
        return allocation.free();
    }

    /** What of it is kept, and for whom. */
    public MachineAllocation allocation() {
        return allocation;
    }

    /** Whether a task fits in beside room that is withheld from it. */
    public boolean fitsBeside(Resources withheld, Submission spec) {
        Resources left = withheld.equals(Resources.NONE) ? free() : free().minus(withheld);
        return left.hold(spec);
    }

    /** Whether this kind of machine is one that the job may run on. */
    public boolean isAllowedFor(Submission spec) {
        return type != null
                && type.fits(spec)
                && (!spot || spec.spot())
                && (spec.zone() == null || spec.zone().equals(zone));
    }

    /** Whether new work may be sent here at all. */
    public boolean isSchedulable(double now, double quietSeconds) {
        return state == State.UP
                && !hasPreemptionNotice()
                && !quarantined()
                && !draining
                && !commandsFailing()
                && now - lastHeartbeatAt < quietSeconds
                && now >= cordonUntil
                && hasSeenCurrentTerm();
    }

    /**
     * Whether it reports in its first session and has not yet heard any leader: it will take work
     * in a moment. One that hears nobody begins its next session within a lease.
     */
    public boolean hasJustBooted() {
        return state == State.UP && workerEpoch.hasSeenNoLeader() && !commandsFailing();
    }

    /** Whether its worker has shown a token of this term. */
    public boolean hasSeenCurrentTerm() {
        return workerEpoch.hasSeenCurrentTerm();
    }

    /** Notes that a task that is to start here needs its image. */
    public void needsImage(Submission spec, double now) {
        images.recordNeeded(
                spec.image(),
                spec.imageGb(),
                type == null ? 0 : type.cacheGb(),
                fetchGbPerSecond(),
                now);
    }

    /**
     * Notes that a task runs here, so that its image is there; the least recently used ones fall
     * out of the cache.
     */
    public void usesImage(Submission spec, double now) {
        images.recordUsed(spec.image(), spec.imageGb(), type == null ? 0 : type.cacheGb(), now);
    }

    /**
     * How long a task would have to wait here for its image; what a start costs besides is within
     * the second.
     */
    public double imageFetchSeconds(Submission spec, double now) {
        return (images.holds(spec.image()) ? 0 : 1)
                + images.fetchWaitSeconds(spec.image(), spec.imageGb(), fetchGbPerSecond(), now);
    }

    private double fetchGbPerSecond() {
        return type == null ? 1 : Math.max(1e-3, type.fetchGbPerSecond());
    }

    public boolean holdsImage(String image) {
        return images.holds(image);
    }

    public ImageCache images() {
        return images;
    }
}
