package org.springmill.control.coordination;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.springmill.control.admission.StateShares;
import org.springmill.control.storage.StateStore;
import org.springmill.protocol.PeerMessages;
import org.springmill.protocol.PeerMessages.News;
import org.springmill.protocol.PeerMessages.Status;
import org.springmill.protocol.Settings;
import org.springmill.protocol.SettingsFixtures;
import org.springmill.sim.VirtualClock;
import org.springmill.transport.PeerLink;

class PeersTest {
    private static final double LEASE_S = 14;

    private final VirtualClock clock = new VirtualClock();
    private final List<Status> sent = new ArrayList<>();
    private PeerLink.Listener listener;

    private Peers peers(boolean leading, long term) throws Exception {
        Settings settings = SettingsFixtures.small();
        PeerLink link =
                new PeerLink() {
                    @Override
                    public void send(String node, byte[] record) {
                        try {
                            sent.add((Status) PeerMessages.decode(record));
                        } catch (Exception e) {
                            throw new AssertionError(e);
                        }
                    }

                    @Override
                    public void onRecord(Listener taker) {
                        listener = taker;
                    }
                };
        Timing timing = Timing.of(settings);
        StateStore store =
                new StateStore((request, done) -> {}, clock, settings, timing.stateTimeoutS());
        Peers peers =
                new Peers(
                        link,
                        clock,
                        settings,
                        timing,
                        new JobDirectory(store, clock, timing, 1),
                        new StateShares(clock, () -> 0, 0.6, 3, timing.renewS(), 1.002, 20),
                        () ->
                                new Status(
                                        "n-0", 0, 0, true, leading, true, 0, false, 0, term,
                                        News.NONE));
        peers.start();
        return peers;
    }

    private void hear(Status status) {
        listener.received(PeerMessages.encode(status));
    }

    /**
     * A follower that helps says until when, and the leader counts on no silence before that and a
     * word's life.
     */
    @ParameterizedTest
    @CsvSource({"0.0, true", "1.0, true", "3.0, true", "4.0, false", "30.0, false"})
    void aFollowerHelpsANewLeaderForAWhileAndTellsItUntilWhen(double afterS, boolean helps)
            throws Exception {
        Peers follower = peers(false, 0);
        clock.run(60);
        hear(new Status("n-1", 1, 0, true, true, true, 0, false, 60_000, 7, News.NONE));
        clock.run(afterS);
        assertEquals(helps, follower.helps());
        sent.clear();
        hear(new Status("n-1", 2, 0, true, true, true, 0, false, 60_000, 7, News.NONE));
        int told = sent.get(sent.size() - 1).witnessAgoMs();
        assertEquals(helps, told < 0);

        Peers leader = peers(true, 7);
        clock.run(60);
        Status asked = sent.get(sent.size() - 1);
        hear(
                new Status(
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
                        News.NONE));
        double until = leader.othersMayRenewUntil() - clock.now();
        assertTrue(until >= -told / 1000.0 + LEASE_S / 10, "counts on silence after " + until);
        clock.run(LEASE_S / 5);
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
        hear(new Status("n-1", 0, earlier, false, false, true, 0, false, 60_000, 7, News.NONE));
        assertFalse(returned.mostConfirmOutage(7));
        assertFalse(returned.allHeard());
        hear(
                new Status(
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
                        News.NONE));
        assertTrue(returned.mostConfirmOutage(7));
    }
}
