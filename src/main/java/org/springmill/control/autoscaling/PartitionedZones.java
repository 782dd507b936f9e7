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
 * <p>A zone counts as partitioned while most of its machines are silent and some controller is,
 * too: the zone may go on working inside, with that controller renewing its workers' leases. What
 * runs there is left alone; deleting the machines, or waiting for leases that do not end, would
 * only stop replicas that are up. This holds for a bounded time.
 */
final class PartitionedZones {
    /**
     * After so many leases without responses of every controller a zone counts as reachable again,
     * however silent it is, so that machines that are lost for good are replaced in the end.
     */
    private static final double MAX_PARTITION_LEASES = 10;

    /** Once a partition is over, the workers need this part of a lease to reconnect. */
    private static final double RECONNECT_LEASES = 0.5;

    private final Fleet fleet;
    private final Peers peers;
    private final UnlistedMachines unlistedMachines;
    private final HeartbeatSilence silence;
    private final Timeouts timeouts;

    /**
     * The zones that the latest update found. They cannot be read from {@link #lastPartitionedAt}:
     * two updates at the same time may differ, for a peer may have responded between them.
     */
    private final Set<String> partitioned = new HashSet<>();

    private final Map<String, Double> lastPartitionedAt = new HashMap<>();
    private double allPeersRespondedAt;
    private double peerUnresponsiveAt = Double.NEGATIVE_INFINITY;

    PartitionedZones(
            Fleet fleet,
            Peers peers,
            UnlistedMachines unlistedMachines,
            HeartbeatSilence silence,
            Timeouts timeouts,
            double now) {
        this.fleet = fleet;
        this.peers = peers;
        this.unlistedMachines = unlistedMachines;
        this.silence = silence;
        this.timeouts = timeouts;
        this.allPeersRespondedAt = now;
    }

    /** Finds the partitioned zones by the heartbeats and responses so far. */
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
                        (zone, heartbeats) -> {
                            if (heartbeats.mostAreOverdue()) {
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
     * Whether a zone was partitioned within the last lease. Once a partition is over, the zone's
     * heartbeats arrive one by one, and the machines with the last of them are not dead.
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
            if (silence.isHeartbeatExpected(machine) && !unlistedMachines.contains(machine)) {
                ZoneHeartbeats ofMachine =
                        new ZoneHeartbeats(1, silence.isHeartbeatOverdue(machine, now) ? 1 : 0);
                zones.merge(machine.zone(), ofMachine, ZoneHeartbeats::plus);
            }
        }
        return zones;
    }

    /** Of how many machines of a zone heartbeats are expected, and of how many they are overdue. */
    private record ZoneHeartbeats(int expected, int overdue) {
        ZoneHeartbeats plus(ZoneHeartbeats other) {
            return new ZoneHeartbeats(expected + other.expected, overdue + other.overdue);
        }

        /** A single silent machine is no partition. */
        boolean mostAreOverdue() {
            return overdue > Math.max(1, expected / 2);
        }
    }
}
