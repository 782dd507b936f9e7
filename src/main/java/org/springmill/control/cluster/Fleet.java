package org.springmill.control.cluster;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.springmill.control.storage.ImageLocations;
import org.springmill.control.timing.Timeouts;
import org.springmill.protocol.CloudMessages.MachineType;
import org.springmill.protocol.Submission;
import org.springmill.protocol.WorkerMessages.ExitCause;
import org.springmill.protocol.WorkerMessages.Heartbeat;
import org.springmill.transport.EventLoop;

/**
 * The machines that a leader knows of, with what the other packages need to act on them. A machine
 * is added when the cloud, its worker or a stored claim first names it, and stays until {@link
 * #remove}.
 */
public final class Fleet {
    /**
     * Grace period of an aborted gang, in checkpoint save times. The margin is for slow members: a
     * gang's checkpoint is usable only once all members have saved it.
     */
    private static final double GANG_CHECKPOINT_SAVE_FACTOR = 2;

    /**
     * How long names of deleted machines are kept, in leases, to reject delayed duplicates of their
     * heartbeats. A later duplicate would add the machine again: work placed there is delayed, but
     * no guarantee is broken.
     */
    private static final double DELETED_RETENTION_LEASES = 60;

    private final Map<String, Machine> machines = new LinkedHashMap<>();
    private final MachineAddresses addresses = new MachineAddresses();
    private final ClusterState clusterState;
    private final MachineTypeCatalog catalog;
    private final EventLoop loop;
    private final long term;
    private final double heartbeatIntervalSeconds;
    private final double deletedRetentionSeconds;

    /** When the deletion of each machine was confirmed, by name, the earliest first. */
    private final Map<String, Double> deletedMachines = new LinkedHashMap<>();

    private final BootTimes bootTimes;
    private ImageLocations storedLocations = new ImageLocations();

    /**
     * A fleet without machines.
     *
     * @param term of the leader
     * @param bootTimeoutFactor the configured timeout of a boot, in nominal boot times
     */
    public Fleet(
            ClusterState clusterState,
            MachineTypeCatalog catalog,
            EventLoop loop,
            Timeouts timeouts,
            long term,
            double bootTimeoutFactor) {
        this.clusterState = clusterState;
        this.catalog = catalog;
        this.loop = loop;
        this.term = term;
        this.heartbeatIntervalSeconds = timeouts.heartbeatIntervalSeconds();
        this.bootTimes = new BootTimes(bootTimeoutFactor);
        deletedRetentionSeconds = DELETED_RETENTION_LEASES * timeouts.workerLeaseSeconds();
    }

    /** A live view of all machines, in the order in which they were added. */
    public Collection<Machine> machines() {
        return machines.values();
    }

    /** A copy of {@link #machines}, for loops that change the fleet. */
    public List<Machine> machinesSnapshot() {
        return new ArrayList<>(machines.values());
    }

    /** The machine with a name; added if it is not known yet. */
    public Machine getOrAdd(String name) {
        return machines.computeIfAbsent(name, this::newMachine);
    }

    private Machine newMachine(String name) {
        Machine machine = new Machine(name, term, loop.now());
        addresses.added(machine);
        adoptImages(machine);
        return machine;
    }

    /**
     * The machine of a heartbeat; added if it is not known yet. Its description is set from the
     * heartbeat if it is incomplete.
     */
    public Machine getOrAdd(Heartbeat heartbeat) {
        Machine machine = getOrAdd(heartbeat.machine());
        if (machine.type() == null || machine.address().isEmpty()) {
            describe(
                    machine,
                    heartbeat.address(),
                    catalog.get(heartbeat.type()),
                    heartbeat.zone(),
                    heartbeat.spot());
        }
        return machine;
    }

    /**
     * Sets the description that the cloud or the worker gives of a machine.
     *
     * @param type null if the cloud does not offer a type of that name
     */
    public void describe(
            Machine machine, String address, MachineType type, String zone, boolean spot) {
        machine.describe(addresses.assign(address, machine), type, zone, spot);
    }

    /** Removes a machine that has been terminated. */
    public void remove(Machine machine) {
        addresses.removed(machine);
        machines.remove(machine.name());
    }

    /** Records that the cloud has confirmed the deletion of a machine. */
    public void recordDeleted(Machine machine) {
        double oldest = loop.now() - deletedRetentionSeconds;
        deletedMachines.values().removeIf(deletedAt -> deletedAt < oldest);
        deletedMachines.putIfAbsent(machine.name(), loop.now());
    }

    /** Whether a machine's deletion is confirmed, so that its heartbeats are late duplicates. */
    public boolean wasDeleted(String name) {
        return deletedMachines.containsKey(name);
    }

    /** Adopts the image locations that an earlier leader stored. */
    public void adoptImageLocations(ImageLocations stored) {
        storedLocations = stored;
        machines.values().forEach(this::adoptImages);
    }

    private void adoptImages(Machine machine) {
        storedLocations.of(machine.name()).forEach(machine.images()::restore);
    }

    /** The images cached on machines that are up, to be stored for later leaders. */
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

    /** The leader's term, to which the fencing tokens of all its commands belong. */
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

    /** The boot times measured in this term. */
    public BootTimes bootTimes() {
        return bootTimes;
    }

    /** Seconds on the steady clock. */
    public double now() {
        return loop.now();
    }

    /** Records that an attempt has ended; the next round commits its end. */
    public void end(TaskAttempt attempt, ExitCause cause) {
        if (!attempt.end(cause, now())) {
            return;
        }
        clusterState.recordStopRequested(attempt);
        clusterState.enqueueEnded(attempt);
        if (attempt.job().spec().isGang() && cause != ExitCause.DONE) {
            abortGang(attempt.job());
        }
    }

    /**
     * Stops the remaining members of a gang, since they make no progress without the one that
     * ended. All are claimed again together.
     */
    private void abortGang(Job gang) {
        double graceSeconds = gang.spec().checkpointSaveSeconds() * GANG_CHECKPOINT_SAVE_FACTOR;
        gang.attempts().forEach(attempt -> stop(attempt, graceSeconds));
    }

    /** Stops an attempt with enough grace to receive the command and to save a checkpoint. */
    public void stopWithCheckpoint(TaskAttempt attempt) {
        Submission spec = attempt.job().spec();
        stop(
                attempt,
                spec.hasCheckpoints()
                        ? spec.checkpointSaveSeconds() + heartbeatIntervalSeconds
                        : 0);
    }

    /**
     * Stops an attempt. One whose start was never sent ends immediately; if it is stopping already,
     * its grace may be shortened but not extended.
     *
     * @param graceSeconds how long its task may still run after the stop command
     */
    public void stop(TaskAttempt attempt, double graceSeconds) {
        switch (attempt.state()) {
            case CLAIMED -> end(attempt, ExitCause.STOPPED);
            case SENT, FETCHING, RUNNING, UNKNOWN -> {
                attempt.transition(TaskAttempt.State.STOPPING, now());
                clusterState.recordStopRequested(attempt);
                attempt.setGraceSeconds(graceSeconds);
            }
            case STOPPING -> {
                if (graceSeconds < attempt.graceSeconds()) {
                    attempt.setGraceSeconds(graceSeconds);
                }
            }
            // An attempt whose claim is being committed cannot be stopped before the result is
            // known; see PlacementRounds.
            case CLAIMING, ENDED, CLOSED -> {}
        }
    }
}
