package org.springmill.control.scheduling;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.springmill.control.autoscaling.PackingFixtures;
import org.springmill.control.cluster.ClusterState;
import org.springmill.control.cluster.Fleet;
import org.springmill.control.cluster.HeartbeatSource;
import org.springmill.control.cluster.Job;
import org.springmill.control.cluster.Machine;
import org.springmill.control.timing.Timeouts;
import org.springmill.protocol.Settings;
import org.springmill.protocol.SettingsFixtures;
import org.springmill.protocol.Submission;
import org.springmill.protocol.WorkerMessages.Heartbeat;
import org.springmill.sim.VirtualClock;

/**
 * Checks which jobs a full round skips. Guards against a leader that ranks thousands of machines
 * and searches preemption victims for each of a thousand skipped jobs. After an outage of the
 * key-value store at the target size, this blocked the leader for seconds, so that it lost its
 * lease repeatedly.
 */
class FullRoundTest {
    private static final Settings SETTINGS = SettingsFixtures.small();
    private static final int JOBS = 3;

    /** Fencing token of the first term, in which the fleet is created. */
    private static final long FENCING_TOKEN = 1L << 20;

    private final VirtualClock clock = new VirtualClock();
    private final Timeouts timeouts = Timeouts.of(SETTINGS);
    private final ClusterState clusterState = new ClusterState(SETTINGS);
    private final Fleet fleet = new Fleet(clusterState, null, clock, timeouts, 1, 3.5);
    private final Placement placement = new Placement(fleet, timeouts, CapacityFilter.NONE);
    private final List<Job> jobs = new ArrayList<>();

    private void bringUpMachine() {
        Machine machine = fleet.getOrAdd("host-000001");
        machine.describe("a:1", PackingFixtures.type("t", 1, "a"), "a", false);
        machine.transition(Machine.State.UP);
        Heartbeat heartbeat =
                new Heartbeat(
                        "host-000001",
                        "a:1",
                        "t",
                        "a",
                        false,
                        1,
                        1,
                        FENCING_TOKEN,
                        null,
                        List.of());
        machine.acceptHeartbeat(heartbeat, HeartbeatSource.HEARTBEAT, clock.now());
    }

    private void submitJobs() {
        for (int i = 0; i < JOBS; i++) {
            Submission template = PackingFixtures.job(1).size(0, 0, 0).build();
            Job job = new Job(withId(template, "run-00000" + i), i + 1);
            jobs.add(job);
            clusterState.add(job);
        }
    }

    private static Submission withId(Submission template, String id) {
        return new Submission(
                id,
                template.jobClass(),
                template.team(),
                template.kind(),
                template.priority(),
                template.tasks(),
                template.cpus(),
                template.gpus(),
                template.memoryGb(),
                template.image(),
                template.imageGb(),
                template.machineTypes(),
                template.zone(),
                template.oneZone(),
                template.spread(),
                template.spot(),
                template.estimatedRunSeconds(),
                template.checkpointIntervalSeconds(),
                template.checkpointSaveSeconds(),
                template.deadlineSeconds(),
                template.dependencies());
    }

    @Test
    void aFullRoundSkipsTheRemainingJobsAndTheNextRoundPlacesThem() {
        bringUpMachine();
        submitJobs();

        assertEquals(1, placement.place(1, 1).size());
        assertFalse(placement.wasSkippedByFullRound(jobs.get(0)));
        assertTrue(placement.wasSkippedByFullRound(jobs.get(1)));
        assertTrue(placement.wasSkippedByFullRound(jobs.get(2)));

        assertEquals(2, placement.place(2, 96).size());
        jobs.forEach(job -> assertFalse(placement.wasSkippedByFullRound(job)));
    }

    /** A job that fits on no machine was considered, so tasks may be preempted for it. */
    @Test
    void aJobThatFitsNoMachineIsNotSkipped() {
        submitJobs();

        assertEquals(0, placement.place(1, 1).size());
        jobs.forEach(job -> assertFalse(placement.wasSkippedByFullRound(job)));
    }
}
