package org.springmill.control.autoscaling;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.springmill.control.cluster.Fleet;
import org.springmill.control.cluster.Machine;
import org.springmill.control.membership.Peers;
import org.springmill.control.timing.Timeouts;

/**
 * The zones that may be cut off from this leader by a network partition.
 *
 * <p>A zone counts as partitioned while the heartbeats of most of its machines are overdue and some
 * controller does not respond: that controller may still reach the zone's workers and renew their
 * leases. Tasks in the zone are left alone for a limited time; deleting the machines, or waiting
 * for leases that do not expire, would only stop replicas that are up.
 */
final class PartitionedZones {
    /**
     * After this many worker leases without responses of every controller, no zone counts as
     * partitioned any more, so that machines that are lost permanently are replaced eventually.
     */
    private static final double MAX_PARTITION_LEASES = 10;

    /** Share of a worker lease that workers need to reconnect after a partition. */
    private static final double RECONNECT_LEASES = 0.5;

    private final Fleet fleet;
    private final Peers peers;
    private final UnlistedMachines unlistedMachines;
    private final HeartbeatMonitor heartbeats;
    private final Timeouts timeouts;

    /**
     * The zones that the latest update found partitioned. They cannot be derived from {@link
     * #lastPartitionedAt}: two updates with the same time may differ, because a peer may have
     * responded between them.
     */
    private final Set<String> partitioned = new HashSet<>();

    private final Map<String, Double> lastPartitionedAt = new HashMap<>();
    private double allPeersRespondedAt;
    private double peerUnresponsiveAt = Double.NEGATIVE_INFINITY;

    PartitionedZones(
            Fleet fleet,
            Peers peers,
            UnlistedMachines unlistedMachines,
            HeartbeatMonitor heartbeats,
            Timeouts timeouts,
            double now) {
        this.fleet = fleet;
        this.peers = peers;
        this.unlistedMachines = unlistedMachines;
        this.heartbeats = heartbeats;
        this.timeouts = timeouts;
        this.allPeersRespondedAt = now;
    }

    /** Finds the partitioned zones from the heartbeats and peer responses so far. */
    void update(double now) {
        if (peers.allPeersResponded()) {
            allPeersRespondedAt = now;
        } else {
            peerUnresponsiveAt = now;
        }
        partitioned.clear();
        if (!mayBePartitioned(now)) {
            return;
        }
        heartbeatsByZone(now)
                .forEach(
                        (zone, zoneHeartbeats) -> {
                            if (zoneHeartbeats.mostAreOverdue()) {
                                partitioned.add(zone);
                                lastPartitionedAt.put(zone, now);
                            }
                        });
    }

    /** Whether the latest update found a zone partitioned. */
    boolean contains(String zone) {
        return partitioned.contains(zone);
    }

    /**
     * Whether a zone was partitioned within the last lease. After a partition the zone's heartbeats
     * arrive one by one, and the machines whose heartbeats arrive last are not dead.
     */
    boolean wasRecently(String zone, double now) {
        double since = now - lastPartitionedAt.getOrDefault(zone, Double.NEGATIVE_INFINITY);
        return since < timeouts.workerLeaseSeconds();
    }

    private boolean mayBePartitioned(double now) {
        return now - peerUnresponsiveAt < RECONNECT_LEASES * timeouts.workerLeaseSeconds()
                && now - allPeersRespondedAt < MAX_PARTITION_LEASES * timeouts.workerLeaseSeconds();
    }

    private Map<String, ZoneHeartbeats> heartbeatsByZone(double now) {
        Map<String, ZoneHeartbeats> zones = new HashMap<>();
        for (Machine machine : fleet.machines()) {
            if (heartbeats.isHeartbeatExpected(machine) && !unlistedMachines.contains(machine)) {
                ZoneHeartbeats ofMachine =
                        new ZoneHeartbeats(1, heartbeats.isHeartbeatOverdue(machine, now) ? 1 : 0);
                zones.merge(machine.zone(), ofMachine, ZoneHeartbeats::plus);
            }
        }
        return zones;
    }

    /** Numbers of machines of a zone whose heartbeats are expected, and whose are overdue. */
    private record ZoneHeartbeats(int expected, int overdue) {
        ZoneHeartbeats plus(ZoneHeartbeats other) {
            return new ZoneHeartbeats(expected + other.expected, overdue + other.overdue);
        }

        /** A single machine without heartbeats is not a partition. */
        boolean mostAreOverdue() {
            return overdue > Math.max(1, expected / 2);
        }
    }
}
