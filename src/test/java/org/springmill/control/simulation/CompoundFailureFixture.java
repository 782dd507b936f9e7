package org.springmill.control.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.AfterEach;
import org.springmill.sim.SimulatedCluster;

/**
 * The simulated cluster under several failures at once; docs/compound-failures.md lists them. Users
 * poll their jobs throughout. After each test all failures end, and then every unfinished job must
 * run and its user must get answers.
 */
abstract class CompoundFailureFixture extends ClusterFixture {
    /** Longer than a job may wait while a machine has room for it. */
    private static final double RECOVERY_SECONDS = 110;

    @Override
    void startCluster(long seed) {
        super.startCluster(seed);
        cluster.startPolling();
    }

    @AfterEach
    void everyUnfinishedJobRunsAfterTheFailures() {
        cluster.endFailures().run(RECOVERY_SECONDS);
        assertEquals(List.of(), cluster.jobsWithPendingTasks());
    }

    /** Submits arrays, a quarter of which are cancelled soon after, through random controllers. */
    final void submitAndCancelJobs(double durationSeconds, SplittableRandom random) {
        for (int i = 0; i < durationSeconds / 2; i++) {
            String id = String.format("run-%06d", 1000 + random.nextInt(100_000));
            int controller = random.nextInt(CONTROLLERS);
            int tasks = 1 + random.nextInt(3);
            int runSeconds = 1 + random.nextInt(20);
            int status =
                    cluster.submit(
                            controller,
                            SimulatedCluster.job(id, "blue", "sweep", tasks, 1, 1),
                            runSeconds);
            if (status == 201 && random.nextInt(4) == 0) {
                cluster.run(random.nextDouble() * 3);
                cluster.cancel((controller + 1) % CONTROLLERS, id);
            }
            cluster.run(0.5 + random.nextDouble() * 2);
        }
    }
}
