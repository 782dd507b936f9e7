package org.springmill.control.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.springmill.control.timing.Timeouts;
import org.springmill.protocol.PeerMessages.JobProgress;
import org.springmill.protocol.PeerMessages.ProgressUpdate;
import org.springmill.protocol.SettingsFixtures;
import org.springmill.sim.VirtualClock;

class RemoteProgressTest {
    private final VirtualClock clock = new VirtualClock();
    private final RemoteProgress progress =
            new RemoteProgress(clock, Timeouts.of(SettingsFixtures.small()));

    private void broadcast(int job) {
        progress.receive(
                new ProgressUpdate("n-1", 5, List.of(new JobProgress("run-" + job, 1, 1))));
    }

    /**
     * Guards against a memory leak: progress was never dropped in steady operation, which kept a
     * few hundred bytes for each job that had run.
     */
    @Test
    void whatIsNoLongerBroadcastIsDropped() {
        for (int job = 0; job < 1000; job++) {
            broadcast(job);
            clock.run(2);
            assertNotNull(progress.of("run-" + job));
        }
        assertTrue(progress.size() < 20, progress.size() + " jobs held");
        assertNull(progress.of("run-900"));
    }

    @Test
    void theLatestBroadcastReplacesEarlierOnes() {
        broadcast(1);
        progress.receive(new ProgressUpdate("n-1", 5, List.of(new JobProgress("run-1", 2, 0))));
        assertEquals(2, progress.of("run-1").done());
    }
}
