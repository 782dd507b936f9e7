package org.springmill.control.history;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import org.springmill.control.storage.KeyValueStoreClient;
import org.springmill.protocol.SettingsFixtures;
import org.springmill.sim.VirtualClock;
import org.springmill.transport.HttpClient.Reply;
import org.springmill.transport.HttpClient.Request;

/** The exact bytes of a stored registration, since other versions read it. */
class HistoryMembershipTest {
    private static final double TIMEOUT_SECONDS = 1;
    private static final double RETRY_SECONDS = 2;

    private final VirtualClock clock = new VirtualClock();
    private final List<String> commits = new ArrayList<>();
    private final HistoryMembership membership =
            new HistoryMembership(
                    new KeyValueStoreClient(
                            this::answer, clock, SettingsFixtures.small(), TIMEOUT_SECONDS),
                    clock,
                    "n-0",
                    Set.of("n-1"),
                    () -> false,
                    RETRY_SECONDS);

    /** Responds like a key-value store that has no registrations and refuses transactions. */
    private void answer(Request request, Consumer<Reply> done) {
        if (request.path().equals("/commit")) {
            commits.add(new String(request.body(), StandardCharsets.UTF_8));
            done.accept(reply(503));
        } else {
            done.accept(reply(404));
        }
    }

    private static Reply reply(int status) {
        return new Reply(status, "{\"ledgerRev\":5}".getBytes(StandardCharsets.UTF_8));
    }

    @Test
    void aRegistrationHasTheStoredFormOfAllVersions() {
        membership.register();
        assertEquals(
                List.of(
                        "{\"when\":[],\"writes\":"
                                + "[{\"write\":\"history-member/n-0\",\"value\":{\"v\":1}}]}"),
                commits);
    }
}
