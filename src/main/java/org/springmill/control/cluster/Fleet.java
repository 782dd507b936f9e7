package org.springmill.control.cluster;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.springmill.control.storage.ImageLocations;
import org.springmill.control.timing.Timeouts;
import org.springmill.protocol.Submission;
import org.springmill.protocol.WorkerMessages.ExitCause;
import org.springmill.protocol.WorkerMessages.Heartbeat;
import org.springmill.transport.EventLoop;

/**
 * The machines that a leader knows of, with what every part of it needs to act on them. A machine
 * is added when it is first heard of, whether from the cloud, its worker or a stored claim, and
 * stays until it is forgotten.
 */
public final class Fleet {
    /** A margin for slow members: what a gang has saved counts only if all of its members have. */
    private static final double GANG_CHECKPOINT_SAVE_FACTOR = 2;

    /**
     * Late copies of reports come up to some leases after they were sent. Taken for a machine that
     * is up, a deleted one costs the work that is given to it some time, but breaks no rule.
     */
    private static final double DELETED_RETENTION_LEASES = 60;

    private final Map<String, Machine> machines = new LinkedHashMap<>();
    private final ClusterState clusterState;
    private final MachineTypeCatalog catalog;
    private final EventLoop loop;
    private final long term;
    private final double heartbeatIntervalSeconds;
    private final double deletedRetentionSeconds;

    /** When the deletion of each machine was confirmed, the earliest first. */
    private final Map<String, Double> deletedMachines = new LinkedHashMap<>();

    private final BootTimes bootTimes;
    private ImageLocations storedLocations = new ImageLocations();

    /**
     * @param bootPatience how many boot times operators are ready to wait for a machine
     */
    public Fleet(
            ClusterState clusterState,
            MachineTypeCatalog catalog,
            EventLoop loop,
            Timeouts timeouts,
            long term,
            double bootPatience) {
        this.clusterState = clusterState;
        this.catalog = catalog;
        this.loop = loop;
        this.term = term;
        this.heartbeatIntervalSeconds = timeouts.heartbeatIntervalSeconds();
        this.bootTimes = new BootTimes(bootPatience);
        deletedRetentionSeconds = DELETED_RETENTION_LEASES * timeouts.workerLeaseSeconds();
    }

    /** A live view of all machines, in the order in which they were first heard of. */
    public Collection<Machine> machines() {
        return machines.values();
    }

    /** A copy of {@link #machines}, for loops that change the fleet. */
    public List<Machine> machinesNow() {
        return new ArrayList<>(machines.values());
    }

    /** Null for a machine that is not known. */
    Machine find(String name) {
        return machines.get(name);
    }

    /** Returns a machine by its name, and adds it if it is not known yet. */
    public Machine machine(String name) {
        return machines.computeIfAbsent(name, this::newMachine);
    }

    private Machine newMachine(String name) {
        Machine machine = new Machine(name, term, loop.now());
        adoptImages(machine);
        return machine;
    }

    /** Returns the machine of a report, described by it if it was not yet. */
    public Machine machine(Heartbeat heartbeat) {
        Machine machine = machine(heartbeat.machine());
        if (machine.type() == null || machine.address().isEmpty()) {
            machine.describe(
                    heartbeat.address(),
                    catalog.get(heartbeat.type()),
                    heartbeat.zone(),
                    heartbeat.spot());
        }
        return machine;
    }

    /** Removes a machine that is gone. */
    public void forget(Machine machine) {
        machines.remove(machine.name());
    }

    /** Notes that the cloud has confirmed that a machine and everything on it are gone. */
    public void deleted(Machine machine) {
        double oldest = loop.now() - deletedRetentionSeconds;
        deletedMachines.values().removeIf(deletedAt -> deletedAt < oldest);
        deletedMachines.putIfAbsent(machine.name(), loop.now());
    }

    /** Whether a machine's deletion is confirmed, so that all that is still heard of it is old. */
    public boolean wasDeleted(String name) {
        return deletedMachines.containsKey(name);
    }

    /** Takes over what an earlier leader stored of the machines' images. */
    public void adopt(ImageLocations stored) {
        storedLocations = stored;
        machines.values().forEach(this::adoptImages);
    }

    private void adoptImages(Machine machine) {
        storedLocations.of(machine.name()).forEach(machine.images()::restore);
    }

    /** Which images the machines that are up hold, to be stored for a later leader. */
    public ImageLocations imageLocations() {
        ImageLocations locations = new ImageLocations();
        for (Machine machine : machines.values()) {
            if (machine.state() == Machine.State.UP) {
                machine.images()
                        .all()
                        .forEach((image, held) -> locations.add(machine.name(), image, held.gb()));
            }
        }
        return locations;
    }

    /** The leader's term, which all tokens of its machines belong to. */
    public long term() {
        return term;
    }

    /** Jobs, attempts and the teams' usage. */
    public ClusterState clusterState() {
        return clusterState;
    }

    /** The types of machines that the cloud offers. */
    public MachineTypeCatalog catalog() {
        return catalog;
    }

    /** How long machines took to boot in this term. */
    public BootTimes bootTimes() {
        return bootTimes;
    }

    /** Seconds on the steady clock. */
    public double now() {
        return loop.now();
    }

    /** Notes that an attempt is known to be over; the next round commits it. */
    public void end(TaskAttempt attempt, ExitCause cause) {
        if (!attempt.end(cause, now())) {
            return;
        }
        clusterState.noteLeaving(attempt);
        clusterState.enqueueEnded(attempt);
        if (attempt.job().spec().gang() && cause != ExitCause.DONE) {
            abortGang(attempt.job());
        }
    }

    /**
     * A gang without one of its members gets nowhere: the others stop too, and all are claimed anew
     * together.
     */
    private void abortGang(Job gang) {
        double graceSeconds = gang.spec().checkpointSaveSeconds() * GANG_CHECKPOINT_SAVE_FACTOR;
        gang.attempts().forEach(attempt -> stop(attempt, graceSeconds));
    }

    /** Has an attempt stopped to make way, with time to save what it can and to be told of it. */
    public void stopWithCheckpoint(TaskAttempt attempt) {
        Submission spec = attempt.job().spec();
        stop(
                attempt,
                spec.checkpoints() ? spec.checkpointSaveSeconds() + heartbeatIntervalSeconds : 0);
    }

    /**
     * Has an attempt stopped; what never was sent ends at once. The grace of one that is stopping
     * already is only ever shortened.
     */
    public void stop(TaskAttempt attempt, double graceSeconds) {
        switch (attempt.state()) {
            case CLAIMED -> end(attempt, ExitCause.STOPPED);
            case SENT, FETCHING, RUNNING, UNKNOWN -> {
                attempt.transition(TaskAttempt.State.STOPPING, now());
                clusterState.noteLeaving(attempt);
                attempt.setGraceSeconds(graceSeconds);
            }
            case STOPPING -> {
                if (graceSeconds < attempt.graceSeconds()) {
                    attempt.setGraceSeconds(graceSeconds);
                }
            }
            // While its round is being committed it can only be dropped afterwards; see Rounds.
            case CLAIMING, ENDED, CLOSED -> {}
        }
    }
}
