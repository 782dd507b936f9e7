package org.springmill.control.jobs;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
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

/** In which order the feed passes records and deletions on, with answers that cross. */
class JobRecordWatchTest {
    private static final String EMPTY_LIST = "{\"pairs\":[],\"truncated\":false,\"ledgerRev\":5}";
    private static final String CREATED = "{\"write\":\"job/run-1\",\"value\":{},\"stamp\":6}";
    private static final String ENDED = "{\"write\":\"job/run-1\",\"value\":{},\"stamp\":8}";
    private static final String DELETED = "{\"delete\":\"job/run-1\",\"stamp\":9}";

    private final VirtualClock clock = new VirtualClock();
    private final List<Request> requests = new ArrayList<>();
    private final List<Consumer<Reply>> replies = new ArrayList<>();
    private final List<String> passedOn = new ArrayList<>();
    private final JobRecordWatch watch = feed();

    private JobRecordWatch feed() {
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
        return new JobRecordWatch(store, clock, timeouts, new Notes());
    }

    private final class Notes implements JobRecordWatch.Listener {
        @Override
        public void changed(Change change) {
            passedOn.add((change.value() == null ? "deleted " : "put ") + change.version());
        }

        @Override
        public void loaded() {
            passedOn.add("loaded");
        }

        @Override
        public void reloaded(Set<String> keys, long revision) {
            passedOn.add("read again " + keys + " at " + revision);
        }

        @Override
        public void caughtUp() {}
    }

    private void answer(int request, int status, String body) {
        replies.get(request).accept(new Reply(status, body.getBytes(StandardCharsets.UTF_8)));
    }

    private static String changes(int revision, String... changes) {
        return "{\"ledgerRev\":" + revision + ",\"news\":[" + String.join(",", changes) + "]}";
    }

    /**
     * The watch was answered when the job was created, but its answer comes after a barrier has
     * brought the job's end and the deletion of its record. Passed on, the creation would bring the
     * job back, to be run once more.
     */
    @Test
    void aChangeThatABarrierHasPassedOnIsNotPassedOnAgain() {
        watch.start();
        answer(0, 200, EMPTY_LIST);
        watch.readBarrier(current -> passedOn.add("barrier " + current));
        assertEquals(3, requests.size(), "list, watch, barrier");
        answer(2, 200, changes(9, CREATED, ENDED, DELETED));
        answer(1, 200, changes(6, CREATED));
        assertEquals(List.of("loaded", "put 6", "put 8", "deleted 9", "barrier true"), passedOn);
        assertEquals(9, watch.cursor());
    }

    /**
     * What a second reading of all records lacks has been moved; the listener is told what is
     * there.
     */
    @Test
    void recordsAreReadAgainWhenTooManyChangesWereMissed() {
        watch.start();
        answer(0, 200, EMPTY_LIST);
        answer(1, 410, "{}");
        answer(
                2,
                200,
                "{\"pairs\":[{\"key\":\"job/run-2\",\"value\":{},\"stamp\":20}],"
                        + "\"truncated\":false,\"ledgerRev\":30}");
        assertEquals(List.of("loaded", "put 20", "read again [job/run-2] at 30"), passedOn);
    }

    /**
     * Held until the last page came, the records of 24,000 jobs ended a controller for memory that
     * had missed too many changes while it stood still.
     */
    @Test
    void recordsArePassedOnPageByPageAndReadFromTheFirstAgainIfOneFails() {
        String first =
                "{\"pairs\":[{\"key\":\"job/run-1\",\"value\":{},\"stamp\":3}],"
                        + "\"truncated\":true,\"ledgerRev\":7}";
        String last =
                "{\"pairs\":[{\"key\":\"job/run-2\",\"value\":{},\"stamp\":8}],"
                        + "\"truncated\":false,\"ledgerRev\":9}";
        watch.start();
        answer(0, 200, first);
        assertEquals(List.of("put 3"), passedOn, "before the second page");
        answer(1, 503, "{}");
        clock.run(2);
        answer(2, 200, first);
        answer(3, 200, last);
        assertEquals(List.of("put 3", "put 3", "put 8", "loaded"), passedOn);
        assertEquals(7, watch.cursor(), "a watch goes on from the first page");
    }

    /** A barrier has read of its end and its move while the list was on its way. */
    @Test
    void aRecordThatWasPassedOnBeforeIsNotPassedOnFromAList() {
        watch.start();
        answer(0, 200, EMPTY_LIST);
        watch.readBarrier(current -> passedOn.add("barrier " + current));
        answer(1, 410, "{}");
        answer(2, 200, changes(9, CREATED, ENDED, DELETED));
        answer(
                3,
                200,
                "{\"pairs\":[{\"key\":\"job/run-1\",\"value\":{},\"stamp\":8}],"
                        + "\"truncated\":false,\"ledgerRev\":8}");
        assertEquals(
                List.of(
                        "loaded",
                        "put 6",
                        "put 8",
                        "deleted 9",
                        "barrier true",
                        "read again [job/run-1] at 8"),
                passedOn);
    }

    @Test
    void aBarrierBeforeTheFirstReadingIsRefused() {
        watch.readBarrier(current -> passedOn.add("barrier " + current));
        assertEquals(List.of("barrier false"), passedOn);
        assertEquals(List.of(), requests);
    }
}
