package org.springmill.control.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.springmill.control.admission.StoreRateShares;
import org.springmill.control.jobs.JobDirectory;
import org.springmill.control.storage.KeyValueStoreClient;
import org.springmill.control.timing.Timeouts;
import org.springmill.protocol.PeerMessages;
import org.springmill.protocol.PeerMessages.CancellationDelta;
import org.springmill.protocol.PeerMessages.CancelledTaskMachines;
import org.springmill.protocol.PeerMessages.PeerRecord;
import org.springmill.protocol.PeerMessages.PeerStatus;
import org.springmill.protocol.Settings;
import org.springmill.protocol.SettingsFixtures;
import org.springmill.sim.VirtualClock;
import org.springmill.transport.PeerLink;

class PeersTest {
    private static final double LEASE_SECONDS = 14;

    private final VirtualClock clock = new VirtualClock();
    private final List<PeerStatus> sent = new ArrayList<>();
    private PeerLink.Listener listener;

    /** The machines of cancelled tasks sent to one peer. */
    private final List<CancelledTaskMachines> sentMachines = new ArrayList<>();

    private Peers peers(boolean leading, long term) throws Exception {
        Settings settings = SettingsFixtures.small();
        PeerLink link =
                new PeerLink() {
                    @Override
                    public void send(String node, byte[] record) {
                        try {
                            recordSent(node, PeerMessages.decode(record));
                        } catch (Exception e) {
                            throw new AssertionError(e);
                        }
                    }

                    @Override
                    public void setListener(Listener newListener) {
                        listener = newListener;
                    }
                };
        Timeouts timeouts = Timeouts.of(settings);
        KeyValueStoreClient store =
                new KeyValueStoreClient(
                        (request, done) -> {},
                        clock,
                        settings,
                        timeouts.storeRequestTimeoutSeconds());
        Peers peers =
                new Peers(
                        link,
                        clock,
                        settings,
                        timeouts,
                        new JobDirectory(store, clock, timeouts, 1),
                        new StoreRateShares(
                                clock,
                                () -> 0,
                                0.6,
                                3,
                                timeouts.leaderRenewIntervalSeconds(),
                                1.002,
                                20),
                        () ->
                                new PeerStatus(
                                        "n-0",
                                        0,
                                        0,
                                        true,
                                        leading,
                                        true,
                                        0,
                                        false,
                                        0,
                                        term,
                                        CancellationDelta.NONE));
        peers.start();
        return peers;
    }

    /** A status request of another controller, which leads. */
    private static PeerStatus requestOfLeader(long requestNumber) {
        return statusOfPeer(requestNumber, 0, true, true, 60_000);
    }

    /** A status response of another controller, which is a follower. */
    private static PeerStatus responseOfFollower(
            long answeredRequestNumber, boolean storeReachable, int confirmedMillisecondsAgo) {
        return statusOfPeer(
                0, answeredRequestNumber, storeReachable, false, confirmedMillisecondsAgo);
    }

    private static PeerStatus statusOfPeer(
            long requestNumber,
            long answeredRequestNumber,
            boolean storeReachable,
            boolean leading,
            int confirmedMillisecondsAgo) {
        return new PeerStatus(
                "n-1",
                requestNumber,
                answeredRequestNumber,
                storeReachable,
                leading,
                true,
                0,
                false,
                confirmedMillisecondsAgo,
                7,
                CancellationDelta.NONE);
    }

    private void recordSent(String node, PeerRecord record) {
        if (record instanceof PeerStatus status) {
            sent.add(status);
        } else if (record instanceof CancelledTaskMachines machines && node.equals("n-1")) {
            sentMachines.add(machines);
        } else if (!(record instanceof CancelledTaskMachines)) {
            throw new AssertionError("unexpected record " + record);
        }
    }

    private PeerStatus lastSent() {
        return sent.get(sent.size() - 1);
    }

    private void receive(PeerStatus status) {
        listener.onRecord(PeerMessages.encode(status));
    }

    /**
     * A follower that renews leases for a new leader reports until when. The leader assumes
     * renewals by other controllers until that time plus the validity of a confirmation.
     */
    @ParameterizedTest
    @CsvSource({"0.0, true", "1.0, true", "3.0, true", "4.0, false", "30.0, false"})
    void aFollowerRenewsLeasesForANewLeaderAndReportsUntilWhen(
            double afterSeconds, boolean renewsLeases) throws Exception {
        Peers follower = peers(false, 0);
        clock.run(60);
        receive(requestOfLeader(1));
        clock.run(afterSeconds);
        assertEquals(renewsLeases, follower.renewsForNewLeader());
        sent.clear();
        receive(requestOfLeader(2));
        int confirmedMillisecondsAgo = lastSent().millisecondsSinceConfirmation();
        assertEquals(renewsLeases, confirmedMillisecondsAgo < 0);

        Peers leader = peers(true, 7);
        clock.run(60);
        PeerStatus request = lastSent();
        receive(responseOfFollower(request.requestNumber(), true, confirmedMillisecondsAgo));
        double until = leader.othersMayRenewUntil() - clock.now();
        assertTrue(
                until >= -confirmedMillisecondsAgo / 1000.0 + LEASE_SECONDS / 10,
                "assumes renewals by others for only another " + until + " s");
        clock.run(LEASE_SECONDS / 5);
        assertEquals(
                Double.POSITIVE_INFINITY,
                leader.othersMayRenewUntil(),
                "an outdated answer confirms nothing");
    }

    /**
     * A restarted process must not use responses to requests of its predecessor as confirmations.
     */
    @Test
    void responsesToRequestsOfAnEarlierProcessConfirmNothing() throws Exception {
        peers(true, 7);
        clock.run(3);
        long earlierRequestNumber = lastSent().requestNumber();
        clock.run(0.2);
        Peers restarted = peers(true, 7);
        clock.run(3);
        receive(responseOfFollower(earlierRequestNumber, false, 60_000));
        assertFalse(restarted.quorumConfirmsOutage(7));
        assertFalse(restarted.allPeersResponded());
        receive(responseOfFollower(lastSent().requestNumber(), false, 60_000));
        assertTrue(restarted.quorumConfirmsOutage(7));
    }

    /** Guards against an array whose machines do not fit into one record between controllers. */
    @Test
    void machinesOfALargeCancelledJobAreSentInSeveralRecords() throws Exception {
        List<String> machines =
                IntStream.range(0, 2 * CancelledTaskMachines.MAX_MACHINES + 1)
                        .mapToObj(number -> "host-" + number)
                        .toList();
        peers(true, 7).broadcastCancelledTaskMachines("run-000001", machines);
        assertEquals(
                List.of(false, true, true),
                sentMachines.stream().map(CancelledTaskMachines::continued).toList());
        assertEquals(
                machines,
                sentMachines.stream().flatMap(record -> record.machines().stream()).toList());
    }
}
