package org.springmill.control.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.springmill.control.admission.StoreRateShares;
import org.springmill.control.jobs.JobDirectory;
import org.springmill.control.storage.KeyValueStoreClient;
import org.springmill.control.timing.Timeouts;
import org.springmill.protocol.PeerMessages;
import org.springmill.protocol.PeerMessages.CancellationDelta;
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

    private Peers peers(boolean leading, long term) throws Exception {
        Settings settings = SettingsFixtures.small();
        PeerLink link =
                new PeerLink() {
                    @Override
                    public void send(String node, byte[] record) {
                        try {
                            sent.add((PeerStatus) PeerMessages.decode(record));
                        } catch (Exception e) {
                            throw new AssertionError(e);
                        }
                    }

                    @Override
                    public void onRecord(Listener taker) {
                        listener = taker;
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

    private void hear(PeerStatus status) {
        listener.received(PeerMessages.encode(status));
    }

    /**
     * A follower that helps says until when, and the leader counts on no silence before that and a
     * word's life.
     */
    @ParameterizedTest
    @CsvSource({"0.0, true", "1.0, true", "3.0, true", "4.0, false", "30.0, false"})
    void aFollowerHelpsANewLeaderForAWhileAndTellsItUntilWhen(double afterSeconds, boolean helps)
            throws Exception {
        Peers follower = peers(false, 0);
        clock.run(60);
        hear(
                new PeerStatus(
                        "n-1",
                        1,
                        0,
                        true,
                        true,
                        true,
                        0,
                        false,
                        60_000,
                        7,
                        CancellationDelta.NONE));
        clock.run(afterSeconds);
        assertEquals(helps, follower.keepsLeasesForNewLeader());
        sent.clear();
        hear(
                new PeerStatus(
                        "n-1",
                        2,
                        0,
                        true,
                        true,
                        true,
                        0,
                        false,
                        60_000,
                        7,
                        CancellationDelta.NONE));
        int told = sent.get(sent.size() - 1).confirmedMillisecondsAgo();
        assertEquals(helps, told < 0);

        Peers leader = peers(true, 7);
        clock.run(60);
        PeerStatus asked = sent.get(sent.size() - 1);
        hear(
                new PeerStatus(
                        "n-1",
                        0,
                        asked.question(),
                        true,
                        false,
                        true,
                        0,
                        false,
                        told,
                        7,
                        CancellationDelta.NONE));
        double until = leader.othersMayRenewUntil() - clock.now();
        assertTrue(
                until >= -told / 1000.0 + LEASE_SECONDS / 10, "counts on silence after " + until);
        clock.run(LEASE_SECONDS / 5);
        assertEquals(Double.POSITIVE_INFINITY, leader.othersMayRenewUntil(), "an old word is none");
    }

    /** A process that returned would otherwise be borne out by words from before its end. */
    @Test
    void answersToQuestionsOfAnEarlierLifeAreNoWords() throws Exception {
        peers(true, 7);
        clock.run(3);
        long earlier = sent.get(sent.size() - 1).question();
        clock.run(0.2);
        Peers returned = peers(true, 7);
        clock.run(3);
        hear(
                new PeerStatus(
                        "n-1",
                        0,
                        earlier,
                        false,
                        false,
                        true,
                        0,
                        false,
                        60_000,
                        7,
                        CancellationDelta.NONE));
        assertFalse(returned.quorumConfirmsOutage(7));
        assertFalse(returned.allPeersResponded());
        hear(
                new PeerStatus(
                        "n-1",
                        0,
                        sent.get(sent.size() - 1).question(),
                        false,
                        false,
                        true,
                        0,
                        false,
                        60_000,
                        7,
                        CancellationDelta.NONE));
        assertTrue(returned.quorumConfirmsOutage(7));
    }
}
