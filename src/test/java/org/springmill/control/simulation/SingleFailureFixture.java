package org.springmill.control.simulation;

import org.junit.jupiter.api.BeforeEach;

/** The simulated cluster, with a leader, as each test of one failure finds it. */
abstract class SingleFailureFixture extends ClusterFixture {
    @BeforeEach
    void startCluster() {
        startCluster(1);
    }
}
