package org.springmill.control.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.AfterEach;
import org.springmill.protocol.OperatorSettings;
import org.springmill.sim.BorrowingChecker;
import org.springmill.sim.SimOptions;
import org.springmill.sim.SimulatedCluster;

/**
 * Three controllers with recalls, and four machines with 32 GPUs in all. Teams red, blue and amber
 * are guaranteed 8 GPUs each, and amber also 8 CPUs. A checker verifies the loans every 50 ms.
 */
abstract class BorrowingFixture extends ClusterFixture {
    static final String SERVING = "run-000010";
    static final String BATCH = "run-000020";
    static final String FINE_TUNING = "run-000030";
    static final double CHECKPOINT_SECONDS = 5;
    static final double SAVE_SECONDS = 1;

    BorrowingChecker checker;

    final void startBorrowing(long seed) {
        startBorrowing(SimOptions.DEFAULTS.withSeed(seed));
    }

    final void startBorrowing(SimOptions options) {
        Optional<OperatorSettings.Borrowing> terms =
                Optional.of(OperatorSettings.Borrowing.DEFAULTS);
        startCluster(new SimulatedCluster(options.withBorrowing(terms)));
        cluster.cloud().exhaustCapacity();
        checker = new BorrowingChecker(cluster);
    }

    @AfterEach
    final void noLoanInvariantIsBroken() {
        assertEquals(List.of(), checker.violations());
        assertEquals(0, cluster.progress().lostCheckpointedSeconds());
    }

    /** A service of production replicas with one GPU each. */
    static ObjectNode serving(String id, String team, int replicas) {
        return SimulatedCluster.job(id, team, "service", replicas, 1, 1).put("urgency", "prod");
    }

    /** An array of tasks with one GPU each that cannot save. */
    static ObjectNode batch(String id, String team, int tasks) {
        return SimulatedCluster.job(id, team, "sweep", tasks, 1, 1).put("expectS", 300.0);
    }

    /** An array of tasks with one GPU each that save checkpoints. */
    static ObjectNode fineTuning(String id, String team, int tasks) {
        return batch(id, team, tasks)
                .put("stashEveryS", CHECKPOINT_SECONDS)
                .put("stashS", SAVE_SECONDS);
    }
}
