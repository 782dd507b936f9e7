package org.springmill.control.jobs;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import org.springmill.control.storage.KeyValueStoreClient;
import org.springmill.control.timing.Timeouts;
import org.springmill.protocol.KeyValueStoreMessages.Change;
import org.springmill.protocol.Settings;
import org.springmill.protocol.SettingsFixtures;
import org.springmill.sim.VirtualClock;
import org.springmill.transport.HttpClient.Reply;
import org.springmill.transport.HttpClient.Request;

/** What the watch delivers when responses arrive out of order or fail. */
class JobRecordWatchTest {
    private static final String EMPTY_LIST = "{\"pairs\":[],\"truncated\":false,\"ledgerRev\":5}";
    private static final String CREATED = "{\"write\":\"job/run-1\",\"value\":{},\"stamp\":6}";
    private static final String ENDED = "{\"write\":\"job/run-1\",\"value\":{},\"stamp\":8}";
    private static final String DELETED = "{\"delete\":\"job/run-1\",\"stamp\":9}";

    private final VirtualClock clock = new VirtualClock();
    private final List<Request> requests = new ArrayList<>();
    private final List<Consumer<Reply>> replies = new ArrayList<>();
    private final List<String> events = new ArrayList<>();
    private final JobRecordWatch watch = newWatch();

    private JobRecordWatch newWatch() {
        Settings settings = SettingsFixtures.small();
        Timeouts timeouts = Timeouts.of(settings);
        KeyValueStoreClient store =
                new KeyValueStoreClient(
                        (request, done) -> {
                            requests.add(request);
                            replies.add(done);
                        },
                        clock,
                        settings,
                        timeouts.storeRequestTimeoutSeconds());
        return new JobRecordWatch(store, clock, timeouts, new EventRecorder());
    }

    private final class EventRecorder implements JobRecordWatch.Listener {
        @Override
        public void changed(Change change) {
            events.add((change.value() == null ? "deleted " : "put ") + change.version());
        }

        @Override
        public void listed(Set<String> keys, long revision) {
            events.add("listed " + new TreeSet<>(keys) + " at " + revision);
        }

        @Override
        public void caughtUp() {}
    }

    private void respond(int request, int status, String body) {
        replies.get(request).accept(new Reply(status, body.getBytes(StandardCharsets.UTF_8)));
    }

    private static String changes(int revision, String... changes) {
        return "{\"ledgerRev\":" + revision + ",\"news\":[" + String.join(",", changes) + "]}";
    }

    /**
     * The response to the watch contains a job's creation, but arrives after a barrier has
     * delivered the job's end and the deletion of its record. If the creation were delivered then,
     * the job would run again.
     */
    @Test
    void changeDeliveredByABarrierIsNotDeliveredByTheWatch() {
        watch.start();
        respond(0, 200, EMPTY_LIST);
        watch.readBarrier(current -> events.add("barrier " + current));
        assertEquals(3, requests.size(), "list, watch, barrier");
        respond(2, 200, changes(9, CREATED, ENDED, DELETED));
        respond(1, 200, changes(6, CREATED));
        assertEquals(
                List.of("listed [] at 5", "put 6", "put 8", "deleted 9", "barrier true"), events);
        assertEquals(9, watch.cursor());
    }

    /** Records missing from a second list have been archived; the listener receives its keys. */
    @Test
    void recordsAreListedAgainAfterTooManyMissedChanges() {
        watch.start();
        respond(0, 200, EMPTY_LIST);
        respond(1, 410, "{}");
        respond(
                2,
                200,
                "{\"pairs\":[{\"key\":\"job/run-2\",\"value\":{},\"stamp\":20}],"
                        + "\"truncated\":false,\"ledgerRev\":30}");
        assertEquals(List.of("listed [] at 5", "put 20", "listed [job/run-2] at 30"), events);
    }

    /**
     * When all pages were collected first, the records of 24,000 jobs exhausted the memory of a
     * controller that had missed too many changes while its process was paused.
     */
    @Test
    void recordsAreDeliveredPageByPageAndTheListRestartsAfterAFailure() {
        String first =
                "{\"pairs\":[{\"key\":\"job/run-1\",\"value\":{},\"stamp\":3}],"
                        + "\"truncated\":true,\"ledgerRev\":7}";
        String last =
                "{\"pairs\":[{\"key\":\"job/run-2\",\"value\":{},\"stamp\":8}],"
                        + "\"truncated\":false,\"ledgerRev\":9}";
        watch.start();
        respond(0, 200, first);
        assertEquals(List.of("put 3"), events, "before the second page");
        respond(1, 503, "{}");
        clock.run(2);
        respond(2, 200, first);
        respond(3, 200, last);
        assertEquals(
                List.of("put 3", "put 3", "put 8", "listed [job/run-1, job/run-2] at 7"), events);
        assertEquals(7, watch.cursor(), "the watch starts at the first page's revision");
    }

    /**
     * A barrier delivers the job's end and the deletion of its record while the list is being read.
     */
    @Test
    void recordDeliveredBeforeIsNotDeliveredFromAList() {
        watch.start();
        respond(0, 200, EMPTY_LIST);
        watch.readBarrier(current -> events.add("barrier " + current));
        respond(1, 410, "{}");
        respond(2, 200, changes(9, CREATED, ENDED, DELETED));
        respond(
                3,
                200,
                "{\"pairs\":[{\"key\":\"job/run-1\",\"value\":{},\"stamp\":8}],"
                        + "\"truncated\":false,\"ledgerRev\":8}");
        assertEquals(
                List.of(
                        "listed [] at 5",
                        "put 6",
                        "put 8",
                        "deleted 9",
                        "barrier true",
                        "listed [job/run-1] at 8"),
                events);
    }

    @Test
    void barrierBeforeTheInitialListFails() {
        watch.readBarrier(current -> events.add("barrier " + current));
        assertEquals(List.of("barrier false"), events);
        assertEquals(List.of(), requests);
    }
}
