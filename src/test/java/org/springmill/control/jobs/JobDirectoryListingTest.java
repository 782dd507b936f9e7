package org.springmill.control.jobs;

import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.Consumer;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import org.springmill.control.storage.ArchivedJob;
import org.springmill.control.storage.JobRecord;
import org.springmill.control.storage.KeyValueStoreClient;
import org.springmill.control.timing.Timeouts;
import org.springmill.emulator.EmulatedKeyValueStore;
import org.springmill.protocol.Json;
import org.springmill.protocol.MalformedMessageException;
import org.springmill.protocol.PeerMessages.Cancellation;
import org.springmill.protocol.Settings;
import org.springmill.protocol.SettingsFixtures;
import org.springmill.protocol.Submission;
import org.springmill.protocol.UserMessages.JobPhase;
import org.springmill.sim.VirtualClock;
import org.springmill.transport.HttpClient.Reply;
import org.springmill.transport.HttpClient.Request;

/**
 * Listings of the job records that are refused at any page, once or several times, while records
 * are added, ended and archived, changes are dropped, and records are merged from this controller's
 * own commits and from peers.
 */
class JobDirectoryListingTest {
    private static final int STEPS = 120;
    private static final int MAX_PAGE_ENTRIES = 4;
    private static final int MAX_JOBS = 24;
    private static final double MAX_STEP_SECONDS = 0.4;
    private static final double MAX_LATENCY_SECONDS = 0.1;
    private static final double MAX_REFUSED_SHARE = 0.8;
    private static final int REFUSAL_CHANGES = 8;
    private static final double RECOVERY_SECONDS = 60;
    private static final int STORED_VALUE_BYTES = 64 * 1024;
    private static final int WRITES_PER_COMMIT = 10;
    private static final String NODE = "n-0";

    /** Guards against went_back: a record that a failed listing delivered stayed for ever. */
    @Property(tries = 300, seed = "20261206", shrinking = ShrinkingMode.OFF)
    void afterABarrierEachRecordIsAsStoredSinceTheCall(@ForAll long seed) {
        new Run(seed).execute();
    }

    /** What happens to the store, or to the directory, in one step. */
    private enum Event {
        ACCEPT,
        END,
        ARCHIVE,
        ARCHIVE_ALL_ENDED,
        DROP_CHANGES,
        MERGE_OWN_COMMIT,
        MERGE_CANCELLATION_OF_PEER,
        READ_BARRIER
    }

    /** A directory and its store. */
    private static final class Run {
        private static final List<Event> EVENTS = List.of(Event.values());

        private final SplittableRandom random;
        private final VirtualClock clock = new VirtualClock();
        private final EmulatedKeyValueStore store =
                new EmulatedKeyValueStore(clock, STORED_VALUE_BYTES, WRITES_PER_COMMIT);
        private final JobDirectory directory;

        /** The stored phases by job, after each change; jobs without a record are left out. */
        private final TreeMap<Long, Map<String, JobPhase>> history = new TreeMap<>();

        private final Map<String, JobRecord> stored = new HashMap<>();
        private final List<String> ids = new ArrayList<>();
        private double refusedShare;
        private long revision;

        Run(long seed) {
            random = new SplittableRandom(seed);
            store.setMaxPageEntries(1 + random.nextInt(MAX_PAGE_ENTRIES));
            Settings settings = SettingsFixtures.small();
            Timeouts timeouts = Timeouts.of(settings);
            KeyValueStoreClient client =
                    new KeyValueStoreClient(
                            this::send, clock, settings, timeouts.storeRequestTimeoutSeconds());
            directory = new JobDirectory(client, clock, timeouts, 1);
            history.put(0L, Map.of());
        }

        /** Delivers a request with a latency each way, or refuses it. */
        private void send(Request request, Consumer<Reply> done) {
            boolean isRefused = random.nextDouble() < refusedShare;
            if (isRefused) {
                clock.after(latency(), () -> done.accept(new Reply(503, new byte[0])));
            } else {
                clock.after(latency(), () -> serve(request, done));
            }
        }

        private void serve(Request request, Consumer<Reply> done) {
            store.handle(
                    NODE,
                    request.method(),
                    request.path(),
                    request.body(),
                    reply -> clock.after(latency(), () -> done.accept(reply)));
        }

        private double latency() {
            return random.nextDouble() * MAX_LATENCY_SECONDS;
        }

        void execute() {
            for (int job = 0; job < MAX_JOBS / 2; job++) {
                apply(Event.ACCEPT);
            }
            drawRefusals();
            directory.start();
            for (int step = 0; step < STEPS; step++) {
                apply(EVENTS.get(random.nextInt(EVENTS.size())));
                if (random.nextInt(REFUSAL_CHANGES) == 0) {
                    drawRefusals();
                }
                clock.run(random.nextDouble() * MAX_STEP_SECONDS);
            }
            refusedShare = 0;
            clock.run(RECOVERY_SECONDS);
            boolean[] isRead = new boolean[1];
            directory.readBarrier(served -> isRead[0] = served);
            clock.run(1);
            assertTrue(isRead[0], "the store serves every request");
            assertEachIsAsStoredSince(revision);
        }

        private void drawRefusals() {
            refusedShare = random.nextBoolean() ? random.nextDouble() * MAX_REFUSED_SHARE : 0;
        }

        private void apply(Event event) {
            switch (event) {
                case ACCEPT -> accept();
                case END -> end(JobPhase.DONE);
                case ARCHIVE -> archive(draw(ids));
                case ARCHIVE_ALL_ENDED -> List.copyOf(ids).forEach(this::archive);
                case DROP_CHANGES -> store.compactChanges();
                case MERGE_OWN_COMMIT -> mergeLater(end(JobPhase.CANCELLED));
                case MERGE_CANCELLATION_OF_PEER -> mergeCancellationLater(end(JobPhase.CANCELLED));
                case READ_BARRIER -> readBarrier();
            }
        }

        private void accept() {
            if (stored.size() < MAX_JOBS) {
                String id = String.format("run-%06d", random.nextInt(1_000_000));
                if (!ids.contains(id)) {
                    ids.add(id);
                    put(JobRecord.accepted(submission(id), clock.now()));
                }
            }
        }

        /** Ends a drawn job; null if it has ended already. */
        private JobRecord end(JobPhase phase) {
            JobRecord record = stored.get(draw(ids));
            return record == null || !record.active()
                    ? null
                    : put(record.ended(phase, clock.now()));
        }

        /** Archives a job if it has ended and is not archived yet. */
        private void archive(String id) {
            JobRecord record = stored.get(id);
            if (record != null && !record.active()) {
                ObjectNode body = Json.newObject();
                body.putArray("when");
                ArrayNode writes = body.putArray("writes");
                writes.addObject().put("delete", JobRecord.key(id));
                writes.addObject()
                        .put("write", ArchivedJob.key(id))
                        .set("value", ArchivedJob.of(record).encode());
                commit(body);
                stored.remove(id);
                recordHistory();
            }
        }

        private JobRecord put(JobRecord record) {
            ObjectNode body = Json.newObject();
            body.putArray("when");
            body.putArray("writes")
                    .addObject()
                    .put("write", record.key())
                    .set("value", record.encode());
            commit(body);
            JobRecord committed = record.committed(revision);
            stored.put(record.id(), committed);
            recordHistory();
            return committed;
        }

        private void commit(JsonNode body) {
            store.handle(NODE, "POST", "/commit", Json.bytes(body), this::committed);
        }

        private void committed(Reply reply) {
            assertTrue(reply.ok(), "status " + reply.status());
            revision++;
        }

        private void recordHistory() {
            Map<String, JobPhase> phases = new HashMap<>();
            stored.forEach((id, record) -> phases.put(id, record.phase()));
            history.put(revision, phases);
        }

        private void mergeLater(JobRecord committed) {
            if (committed != null) {
                clock.after(latency(), () -> directory.merge(committed));
            }
        }

        private void mergeCancellationLater(JobRecord cancelled) {
            if (cancelled != null) {
                Cancellation received =
                        new Cancellation(cancelled.id(), cancelled.version(), cancelled.endedAt());
                clock.after(latency(), () -> directory.merge(received));
            }
        }

        private void readBarrier() {
            long calledAt = revision;
            directory.readBarrier(
                    served -> {
                        if (served) {
                            assertEachIsAsStoredSince(calledAt);
                        }
                    });
        }

        private void assertEachIsAsStoredSince(long calledAt) {
            for (String id : ids) {
                JobRecord known = directory.get(id);
                JobPhase phase = known == null ? null : known.phase();
                boolean isAsStored =
                        history.tailMap(history.floorKey(calledAt)).values().stream()
                                .anyMatch(phases -> phases.get(id) == phase);
                assertTrue(isAsStored, id + " is " + phase + " since revision " + calledAt);
            }
        }

        private String draw(List<String> from) {
            return from.get(random.nextInt(from.size()));
        }

        private static Submission submission(String id) {
            String json =
                    """
                    {"nameId":"%s","grist":"c","crew":"red","shape":"sweep","urgency":"normal",
                    "sacks":1,"vcpus":1.0,"cards":0.0,"memGb":1.0,"mould":"img-1","pullGb":1.0,
                    "samePlace":false,"apart":false,"loaner":false,"expectS":10.0,
                    "stashEveryS":0.0,"stashS":0.0}
                    """
                            .formatted(id);
            try {
                return Submission.parse(
                        Json.object(json.getBytes(java.nio.charset.StandardCharsets.UTF_8)));
            } catch (MalformedMessageException e) {
                throw new IllegalStateException(e);
            }
        }
    }
}
