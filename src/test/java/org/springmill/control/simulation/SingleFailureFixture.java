package org.springmill.control.simulation;

import org.junit.jupiter.api.BeforeEach;

/** Starts a simulated cluster and waits for its leader before each test of a single failure. */
abstract class SingleFailureFixture extends ClusterFixture {
    @BeforeEach
    void startCluster() {
        startCluster(1);
    }
}
