package org.springmill.control.autoscaling;

import java.util.List;
import java.util.Optional;
import org.springmill.control.cluster.CloudClient;
import org.springmill.control.cluster.Fleet;
import org.springmill.control.cluster.Machine;
import org.springmill.control.cluster.MachineListReader;
import org.springmill.protocol.CloudMessages.ListedMachine;
import org.springmill.protocol.CloudMessages.MachinePhase;
import org.springmill.protocol.Settings;
import org.springmill.transport.EventLoop;

/**
 * Reads the cloud's list of machines at regular intervals and updates the fleet with each complete
 * list.
 */
final class MachineListing {
    /** The protocol allows a list to lag by up to twice the configured lag. */
    private static final double MAX_LAG_FACTOR = 2;

    private final Fleet fleet;
    private final CloudClient cloud;
    private final MachineListReader reader;
    private final MachineDeletion deletion;
    private final EventLoop loop;
    private final Settings settings;
    private final Runnable changed;
    private double listedAt = Double.NEGATIVE_INFINITY;

    /**
     * @param changed run after each complete list
     */
    MachineListing(
            Fleet fleet,
            CloudClient cloud,
            MachineDeletion deletion,
            EventLoop loop,
            Settings settings,
            Runnable changed) {
        this.fleet = fleet;
        this.cloud = cloud;
        reader = new MachineListReader(cloud);
        this.deletion = deletion;
        this.loop = loop;
        this.settings = settings;
        this.changed = changed;
    }

    /** Starts reading a list; further lists are scheduled automatically. */
    void start() {
        reader.read(this::listRead);
    }

    /** Whether a complete list was read in this term. */
    boolean hasListed() {
        return listedAt > Double.NEGATIVE_INFINITY;
    }

    /** When the latest complete list was read; negative infinity before the first. */
    double listedAt() {
        return listedAt;
    }

    /** The longest time by which a list may lag behind the fleet. */
    double longestLagSeconds() {
        return MAX_LAG_FACTOR * settings.cloudLimits().listLagSeconds();
    }

    private void listRead(Optional<List<ListedMachine>> list) {
        list.ifPresent(this::listCompleted);
        scheduleNext();
    }

    private void scheduleNext() {
        loop.after(cloud.retryIntervalSeconds(), this::start);
    }

    private void listCompleted(List<ListedMachine> found) {
        boolean first = !hasListed();
        listedAt = loop.now();
        for (ListedMachine listed : found) {
            // A lagging list may still name deleted machines.
            if (!fleet.wasDeleted(listed.name())) {
                update(listed, first);
            }
        }
        changed.run();
    }

    private void update(ListedMachine listed, boolean first) {
        Machine machine = fleet.getOrAdd(listed.name());
        machine.recordListed(listedAt);
        machine.rentedAt(listedAt - listed.ageSeconds());
        if (listed.phase() != MachinePhase.BOOTING) {
            machine.markListedAsBooted();
        }
        if (machine.type() == null || machine.address().isEmpty()) {
            describe(machine, listed);
            if (first) {
                // Sends the new fencing token immediately, so that the worker rejects the previous
                // leader's commands.
                machine.commandChannel().requestStatus();
            }
        }
        boolean failed = listed.phase() == MachinePhase.FAILED;
        if (failed && machine.state() != Machine.State.TERMINATING) {
            deletion.closeAttempts(machine);
            deletion.delete(machine, DeletionReason.FAILED);
        }
    }

    private void describe(Machine machine, ListedMachine listed) {
        fleet.describe(
                machine,
                listed.address(),
                fleet.catalog().get(listed.type()),
                listed.zone(),
                listed.spot());
    }
}
