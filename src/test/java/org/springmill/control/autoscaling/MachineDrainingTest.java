package org.springmill.control.autoscaling;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.springmill.control.cluster.HeartbeatSource;
import org.springmill.control.cluster.Job;
import org.springmill.control.cluster.Machine;
import org.springmill.control.cluster.TaskAttempt;
import org.springmill.control.storage.Claim;
import org.springmill.protocol.CloudMessages.MachineType;
import org.springmill.protocol.Submission;
import org.springmill.protocol.TaskId;
import org.springmill.protocol.WorkerMessages.Heartbeat;

/** Tests which machine is drained, given where its tasks fit. */
class MachineDrainingTest {
    private static final double NOW = 100;
    private static final String ZONE = "a";
    private static final MachineType TYPE = PackingFixtures.type("large", 10, ZONE);

    /** A machine that runs one task with this many CPUs and holds its image. */
    private static Machine running(String name, double cpus) {
        Machine machine = new Machine(name, 1, NOW);
        machine.describe("10.1.0.1:9000", TYPE, ZONE, false);
        machine.acceptHeartbeat(
                new Heartbeat(name, "", "large", ZONE, false, 1, 1, 0, null, List.of()),
                HeartbeatSource.HEARTBEAT,
                NOW);
        machine.transition(Machine.State.UP);
        Submission spec = PackingFixtures.job(1).size(cpus, 0, 1).build();
        machine.recordImageUsed(spec, NOW);
        Claim claim = Claim.decide(new TaskId(spec.id(), 0), name, 1);
        machine.add(new TaskAttempt(claim, new Job(spec, 1), machine, NOW));
        return machine;
    }

    @Test
    void nextCandidateIsDrainedIfTasksOfTheFirstFitNowhere() {
        Bin stuck = Bin.of(running("host-000001", 90));
        Bin movable = Bin.of(running("host-000002", 10));
        Bin target = Bin.of(running("host-000003", 80));
        List<Bin> bins = List.of(stuck, movable, target);
        assertEquals(
                Optional.of(movable.machine()),
                MachineDraining.firstEvictable(
                        List.of(stuck, movable), List.of(stuck, movable, target)));
        assertEquals(
                Optional.empty(),
                MachineDraining.firstEvictable(List.of(stuck), List.of(stuck, target)));
        // Trying a candidate does not change the bins.
        assertEquals(List.of(6.0, 86.0, 16.0), bins.stream().map(this::freeCpus).toList());
    }

    private double freeCpus(Bin bin) {
        return Math.round(bin.freeShare() * TYPE.cpus());
    }
}
