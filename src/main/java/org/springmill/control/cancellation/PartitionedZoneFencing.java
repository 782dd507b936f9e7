package org.springmill.control.cancellation;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.springmill.control.cluster.CloudClient;
import org.springmill.control.cluster.MachineListReader;
import org.springmill.control.membership.Peers;
import org.springmill.control.storage.KeyValueStoreClient;
import org.springmill.control.timing.Timeouts;
import org.springmill.protocol.CloudMessages;
import org.springmill.protocol.CloudMessages.ListedMachine;
import org.springmill.transport.EventLoop;
import org.springmill.transport.HttpClient.Reply;

/**
 * Deletes the machines of a partitioned zone if no controller outside can know which tasks there
 * are cancelled: all of them were started recently and missed the cancellations before, and the
 * key-value store is out. A controller inside the zone may renew its workers' leases for as long as
 * the partition lasts. docs/design.md, claim 8.8, has the argument.
 */
final class PartitionedZoneFencing {
    private static final Logger LOG = LoggerFactory.getLogger(PartitionedZoneFencing.class);

    private static final double CHECKS_PER_HEARTBEAT_INTERVAL = 2;

    private final CancellationCatchUp catchUp;
    private final KeyValueStoreClient store;
    private final Peers peers;
    private final CloudClient cloud;
    private final EventLoop loop;
    private final Timeouts timeouts;
    private final double mayJudgeFrom;
    private final HeardMachines heardMachines = new HeardMachines();
    private final Set<String> deleted = new HashSet<>();
    private boolean isListing;

    PartitionedZoneFencing(
            CancellationCatchUp catchUp,
            KeyValueStoreClient store,
            Peers peers,
            CloudClient cloud,
            EventLoop loop,
            Timeouts timeouts) {
        this.catchUp = catchUp;
        this.store = store;
        this.peers = peers;
        this.cloud = cloud;
        this.loop = loop;
        this.timeouts = timeouts;
        mayJudgeFrom = loop.now() + timeouts.discoveryTimeoutSeconds();
    }

    /** Records that a worker sent a heartbeat to this controller. */
    void heartbeatReceived(String machine) {
        if (catchUp.hasRecentlyStarted()) {
            heardMachines.heard(machine, loop.now());
        }
    }

    /** Runs one check and schedules the next. */
    void run() {
        loop.after(timeouts.heartbeatIntervalSeconds() / CHECKS_PER_HEARTBEAT_INTERVAL, this::run);
        if (catchUp.isCaughtUp()) {
            heardMachines.clear();
            return;
        }
        peers.requestCatchUp(store.isReachable() ? List.of() : recentlyHeard());
        if (!isListing && silentControllers().isPresent()) {
            isListing = true;
            new MachineListReader(cloud).read(this::listRead);
        }
    }

    private List<String> recentlyHeard() {
        return heardMachines.since(loop.now() - timeouts.discoveryTimeoutSeconds());
    }

    /** The controllers that are not heard; empty if nothing may be deleted. */
    private Optional<List<String>> silentControllers() {
        boolean mayJudge = loop.now() >= mayJudgeFrom && !catchUp.isCaughtUp();
        if (!mayJudge || store.isReachable() || peers.anyReachesStore()) {
            return Optional.empty();
        }
        return FencingQuorum.silentControllers(
                peers.nodes(), this::isSilent, catchUp::mayHaveMissedAny);
    }

    private boolean isSilent(String node) {
        return loop.now() - peers.lastResponseAt(node) > timeouts.discoveryTimeoutSeconds();
    }

    private void listRead(Optional<List<ListedMachine>> list) {
        isListing = false;
        Optional<List<String>> silent = silentControllers();
        if (list.isPresent() && silent.isPresent()) {
            fence(list.get(), silent.get());
        }
    }

    private void fence(List<ListedMachine> listed, List<String> silent) {
        List<String> machines =
                new ArrayList<>(UnheardZones.machines(listed, heardByAny(), silent.size()));
        machines.removeAll(deleted);
        if (machines.isEmpty()) {
            return;
        }
        LOG.warn(
                "deleting {} machines of a zone that is taken to be partitioned together with one of"
                        + " {}: no controller outside can know which tasks there are cancelled: {}",
                machines.size(),
                silent,
                machines);
        for (int from = 0; from < machines.size(); from += CloudMessages.MAX_DELETIONS) {
            int to = Math.min(machines.size(), from + CloudMessages.MAX_DELETIONS);
            delete(machines.subList(from, to));
        }
    }

    private Set<String> heardByAny() {
        Set<String> heard = new HashSet<>(recentlyHeard());
        heard.addAll(catchUp.machinesHeardByPeers());
        return heard;
    }

    private void delete(List<String> machines) {
        // Not requested again before the answer.
        deleted.addAll(machines);
        cloud.delete(machines, reply -> deletionAnswered(machines, reply));
    }

    private void deletionAnswered(List<String> machines, Reply reply) {
        if (!reply.ok()) {
            machines.forEach(deleted::remove);
        }
    }
}
