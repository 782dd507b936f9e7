package org.springmill.control.history;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import org.springmill.control.history.ArchivedJobLookup.Outcome;
import org.springmill.control.storage.ArchivedJob;
import org.springmill.control.storage.KeyValueStoreClient;
import org.springmill.protocol.Settings;
import org.springmill.protocol.SettingsFixtures;
import org.springmill.protocol.UserMessages.JobPhase;
import org.springmill.sim.VirtualClock;
import org.springmill.transport.HttpClient.Reply;
import org.springmill.transport.HttpClient.Request;

/** Lookups of archived jobs share reads, are limited in rate, and cache only final states. */
class ArchivedJobLookupTest {
    private static final Settings SETTINGS = SettingsFixtures.small();
    private static final double TIMEOUT_SECONDS = 1;

    private final VirtualClock clock = new VirtualClock();
    private final List<Request> requests = new ArrayList<>();
    private final List<Consumer<Reply>> replies = new ArrayList<>();
    private final List<Outcome> outcomes = new ArrayList<>();
    private final ArchivedJobLookup archivedJobs =
            new ArchivedJobLookup(
                    new KeyValueStoreClient(
                            (request, done) -> {
                                requests.add(request);
                                replies.add(done);
                            },
                            clock,
                            SETTINGS,
                            TIMEOUT_SECONDS),
                    clock);

    private void find(String id) {
        archivedJobs.find(id, lookup -> outcomes.add(lookup.outcome()));
    }

    private void respondFound(int request, String id) {
        String body =
                "{\"key\":\"ended/"
                        + id
                        + "\",\"value\":{\"v\":1,\"end\":\"done\",\"at\":5.0,\"tasks\":3,"
                        + "\"replicated\":false,\"rev\":7},\"stamp\":9}";
        respond(request, 200, body);
    }

    private void respond(int request, int status, String body) {
        replies.get(request).accept(new Reply(status, body.getBytes(StandardCharsets.UTF_8)));
    }

    @Test
    void lookupsOfTheSameJobShareARead() {
        find("run-1");
        find("run-1");
        assertEquals(1, requests.size());
        respondFound(0, "run-1");
        assertEquals(List.of(Outcome.FOUND, Outcome.FOUND), outcomes);
        find("run-1");
        assertEquals(1, requests.size(), "a final state is cached");
        ArchivedJob expected = new ArchivedJob("run-1", JobPhase.DONE, 3, false, 5, 7);
        assertEquals(expected, archivedJobs.cached("run-1"));
    }

    @Test
    void absenceOfAJobIsNotCached() {
        find("run-1");
        respond(0, 404, "{\"ledgerRev\":9}");
        find("run-1");
        respondFound(1, "run-1");
        assertEquals(List.of(Outcome.ABSENT, Outcome.FOUND), outcomes);
    }

    @Test
    void aLookupThatIsNotServedIsNeitherFoundNorAbsent() {
        find("run-1");
        respond(0, 503, "{}");
        assertEquals(List.of(Outcome.UNAVAILABLE), outcomes);
        assertNull(archivedJobs.cached("run-1"));
    }

    /** Many lookups of old jobs must not use up the key-value store's request rate. */
    @Test
    void lookupsAreRateLimitedAndFailImmediatelyWhenTheQueueIsFull() {
        for (int i = 0; i < 1000; i++) {
            find("run-" + i);
        }
        double perSecond =
                0.15 * SETTINGS.storeLimits().requestsPerSecond() / SETTINGS.controllers();
        assertEquals((int) perSecond, requests.size());
        assertTrue(outcomes.size() >= 1000 - 2 * perSecond - 1, outcomes.size() + " refused");
        clock.run(1);
        assertTrue(requests.size() <= 2 * perSecond + 1, requests.size() + " reads in a second");
        for (int i = 0; i < requests.size(); i++) {
            respond(i, 404, "{\"ledgerRev\":9}");
        }
        assertEquals(1000, outcomes.size(), "every lookup is answered");
    }

    @Test
    void theCacheIsBounded() {
        for (int i = 0; i < 2 * ArchivedJobLookup.MAX_CACHED; i++) {
            archivedJobs.cache(new ArchivedJob("run-" + i, JobPhase.DONE, 1, false, 0, i + 1));
        }
        assertEquals(ArchivedJobLookup.MAX_CACHED, archivedJobs.cachedCount());
    }
}
