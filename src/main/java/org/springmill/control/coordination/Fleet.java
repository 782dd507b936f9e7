package org.springmill.control.coordination;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.springmill.control.storage.ImageLocations;
import org.springmill.protocol.Submission;
import org.springmill.protocol.WorkerMessages.Cause;
import org.springmill.protocol.WorkerMessages.Report;
import org.springmill.transport.Loop;

/** The machines that a leader knows of, with what every part of it needs to act on them. */
final class Fleet {
    private final Map<String, Machine> machines = new LinkedHashMap<>();
    private final ClusterState clusterState;
    private final MachineTypeCatalog catalog;
    private final Loop loop;
    private final long term;
    private final double reportS;
    private final Set<String> deleted = new HashSet<>();
    private ImageLocations noted = new ImageLocations();

    Fleet(
            ClusterState clusterState,
            MachineTypeCatalog catalog,
            Loop loop,
            Timing timing,
            long term) {
        reportS = timing.reportS();
        this.clusterState = clusterState;
        this.catalog = catalog;
        this.loop = loop;
        this.term = term;
    }

    Collection<Machine> machines() {
        return machines.values();
    }

    List<Machine> machinesNow() {
        return new ArrayList<>(machines.values());
    }

    Machine find(String name) {
        return machines.get(name);
    }

    Machine machine(String name) {
        return machines.computeIfAbsent(
                name,
                n -> {
                    Machine machine = new Machine(n, term, loop.now());
                    noted.of(n).forEach(machine.images()::adopt);
                    return machine;
                });
    }

    Machine machine(Report report) {
        Machine machine = machine(report.machine());
        if (machine.type() == null || machine.address().isEmpty()) {
            machine.describe(
                    report.address(), catalog.get(report.type()), report.zone(), report.spot());
        }
        return machine;
    }

    void forget(Machine machine) {
        machines.remove(machine.name());
    }

    /** The cloud has confirmed that a machine and everything on it are gone. */
    void deleted(Machine machine) {
        deleted.add(machine.name());
    }

    /** Whether whatever is still heard of a machine is old. */
    boolean wasDeleted(String name) {
        return deleted.contains(name);
    }

    /** Takes over what an earlier leader noted of the machines' images. */
    void adopt(ImageLocations notes) {
        noted = notes;
        machines.values()
                .forEach(machine -> notes.of(machine.name()).forEach(machine.images()::adopt));
    }

    ImageLocations imageLocations() {
        ImageLocations notes = new ImageLocations();
        for (Machine machine : machines.values()) {
            if (machine.state() == Machine.State.UP) {
                machine.images()
                        .all()
                        .forEach((image, held) -> notes.add(machine.name(), image, held.gb()));
            }
        }
        return notes;
    }

    long term() {
        return term;
    }

    ClusterState clusterState() {
        return clusterState;
    }

    MachineTypeCatalog catalog() {
        return catalog;
    }

    double now() {
        return loop.now();
    }

    /** Notes that an attempt is known to be over; the next round commits it. */
    void end(Attempt attempt, Cause cause) {
        if (!attempt.end(cause, now())) {
            return;
        }
        clusterState.noteLeaving(attempt);
        clusterState.noteEnded(attempt);
        if (attempt.job().spec().gang() && cause != Cause.DONE) {
            // A gang without one of its members gets nowhere: the others stop too, and all are
            // claimed anew together.
            attempt.job().attempts().forEach(other -> stop(other, other.job().spec().saveS() * 2));
        }
    }

    /** Has an attempt stopped to make way, with time to save what it can and to be told of it. */
    void stopSaving(Attempt attempt) {
        Submission spec = attempt.job().spec();
        stop(attempt, spec.checkpoints() ? spec.saveS() + reportS : 0);
    }

    /** Has an attempt stopped; what never was sent ends at once. */
    void stop(Attempt attempt, double graceS) {
        switch (attempt.state()) {
            case CLAIMED -> end(attempt, Cause.STOPPED);
            case SENT, FETCHING, RUNNING, UNKNOWN -> {
                attempt.transition(Attempt.State.STOPPING, now());
                clusterState.noteLeaving(attempt);
                attempt.grace(graceS);
            }
            case STOPPING -> {
                if (graceS < attempt.graceS()) {
                    attempt.grace(graceS);
                }
            }
            // While its round is being committed it can only be dropped afterwards; see Rounds.
            case CLAIMING, ENDED, GONE -> {}
        }
    }
}
