package org.springmill.control.autoscaling;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.springmill.control.cluster.ClusterState;
import org.springmill.control.cluster.Fleet;
import org.springmill.control.cluster.Machine;
import org.springmill.control.timing.Timeouts;
import org.springmill.protocol.Settings;
import org.springmill.protocol.SettingsFixtures;
import org.springmill.sim.VirtualClock;

/** Guards against memory growth: a leader must not remember deleted machines forever. */
class DeletedMachinesTest {
    private static final double LEASE_SECONDS = 14;

    private final VirtualClock clock = new VirtualClock();

    @Test
    void deletedMachineIsForgottenOnlyAfterRetentionTime() {
        Settings settings = SettingsFixtures.small();
        Fleet fleet =
                new Fleet(new ClusterState(settings), null, clock, Timeouts.of(settings), 1, 3.5);
        fleet.recordDeleted(new Machine("host-000001", 1, clock.now()));
        clock.run(10 * LEASE_SECONDS);
        fleet.recordDeleted(new Machine("host-000002", 1, clock.now()));
        assertTrue(fleet.wasDeleted("host-000001"));
        clock.run(55 * LEASE_SECONDS);
        fleet.recordDeleted(new Machine("host-000003", 1, clock.now()));
        assertFalse(fleet.wasDeleted("host-000001"));
        assertTrue(fleet.wasDeleted("host-000002"));
        assertTrue(fleet.wasDeleted("host-000003"));
    }
}
