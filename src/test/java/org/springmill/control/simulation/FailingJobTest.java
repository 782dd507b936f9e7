package org.springmill.control.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.springmill.sim.SimOptions;
import org.springmill.sim.SimWorker;
import org.springmill.sim.SimulatedCluster;

/** Jobs whose tasks fail on every machine, until their users cancel or repair them. */
class FailingJobTest extends ClusterFixture {
    private static final int TASKS = 16;
    private static final double CANCEL_SECONDS = 44;

    @BeforeEach
    void start() {
        // Machines are kept for 100 boot times although no task runs on them successfully.
        startCluster(new SimulatedCluster(SimOptions.DEFAULTS.withSeed(11).withIdleBoots(100)));
        cluster.cloud().exhaustCapacity();
    }

    private void acceptBroken(String id) {
        cluster.setBroken(id, true);
        accept(array(id), 1);
    }

    private static ObjectNode array(String id) {
        return SimulatedCluster.job(id, "blue", "sweep", TASKS, 1, 1);
    }

    /**
     * Guards against retrying all tasks of a job that fails everywhere again and again, and against
     * the removal of its machines because of it.
     */
    @Test
    void jobThatFailsEverywhereCostsFewStartsAndNoMachine() {
        List<SimWorker> before = machines();
        acceptBroken(JOB);
        acceptBroken(OTHER);
        cluster.run(60);

        int starts = cluster.startsOfJob(JOB) + cluster.startsOfJob(OTHER);
        assertTrue(starts <= 2 * (TASKS + 8), starts + " starts of two jobs that only fail");
        assertTrue(cluster.startsOfJob(JOB) > TASKS, "it is tried again");

        accept(array("run-000003"), 5);
        cluster.run(15);
        assertEquals("done", cluster.phase(follower(), "run-000003"));
        assertEquals(before, machines());
    }

    /** Guards against retry delays and limits that continue long after the job was repaired. */
    @Test
    void jobThatWorksAfterSomeFailuresIsDoneSoon() {
        acceptBroken(JOB);
        cluster.run(20);
        cluster.setBroken(JOB, false);
        cluster.run(60);
        assertEquals("done", cluster.phase(follower(), JOB));
    }

    /**
     * Guards against a faulty machine that is not detected because jobs that fail everywhere ran
     * there.
     */
    @Test
    void machineThatFailsEverythingIsFoundAlthoughBrokenJobsRanThere() {
        SimWorker faulty = machines().get(0);
        faulty.failAllTasks();
        acceptBroken(JOB);
        cluster.run(15);
        for (int i = 0; i < 3; i++) {
            accept(array("run-00010" + i), 5);
            cluster.run(15);
        }
        assertFalse(machines().contains(faulty), "the faulty machine was returned");
        assertEquals(3, machines().size(), "no other machine was returned");
        for (int i = 0; i < 3; i++) {
            assertEquals("done", cluster.phase(follower(), "run-00010" + i));
        }
    }

    /** Guards against a retry that was scheduled before the cancellation and starts after it. */
    @Test
    void jobCancelledDuringARetryDelayStartsNothingAfterALeaderChange() {
        acceptBroken(JOB);
        cluster.run(30);
        int asked = follower();
        assertEquals("cancelled", cluster.cancel(asked, JOB));
        int starts = cluster.startsOfJob(JOB);
        cluster.kill(cluster.leader());
        cluster.run(CANCEL_SECONDS);
        assertEquals("cancelled", cluster.phase(asked, JOB));
        assertEquals(starts, cluster.startsOfJob(JOB));
        assertEquals(0, cluster.running(JOB));
    }

    /** A new leader does not know earlier failures, which may cost one more start of each task. */
    @Test
    void newLeaderRetriesAllTasksOfAFailingJobOnce() {
        acceptBroken(JOB);
        cluster.run(30);
        int before = cluster.startsOfJob(JOB);
        cluster.kill(cluster.leader());
        cluster.run(30);
        int after = cluster.startsOfJob(JOB) - before;
        assertTrue(after <= TASKS + 8, after + " starts under the new leader");
    }
}
