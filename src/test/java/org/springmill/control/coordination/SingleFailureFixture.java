package org.springmill.control.coordination;

import org.junit.jupiter.api.BeforeEach;

/** The simulated cluster, with a leader, as each test of one failure finds it. */
abstract class SingleFailureFixture extends ClusterFixture {
    @BeforeEach
    void startCluster() {
        startCluster(1);
    }
}
