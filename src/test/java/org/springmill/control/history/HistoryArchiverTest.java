package org.springmill.control.history;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.springmill.control.storage.ArchivedJob;
import org.springmill.control.storage.JobRecord;
import org.springmill.control.storage.KeyValueStoreClient;
import org.springmill.protocol.Json;
import org.springmill.protocol.KeyValueStoreMessages.Condition;
import org.springmill.protocol.MalformedMessageException;
import org.springmill.protocol.Settings;
import org.springmill.protocol.SettingsFixtures;
import org.springmill.protocol.Submission;
import org.springmill.protocol.UserMessages.JobPhase;
import org.springmill.sim.VirtualClock;
import org.springmill.transport.HttpClient.Reply;
import org.springmill.transport.HttpClient.Request;

/** When records are archived, in which batches, and how each response is handled. */
class HistoryArchiverTest {
    private static final Settings SETTINGS = SettingsFixtures.small();
    private static final double RETENTION_SECONDS = 60;
    private static final double BACKOFF_SECONDS = 14;
    private static final String COMMITTED = "{\"ledgerRev\":50}";
    private static final String RECORD =
            "{\"nameId\":\"%s\",\"grist\":\"c\",\"crew\":\"t\",\"shape\":\"sweep\","
                    + "\"urgency\":\"prod\",\"sacks\":1,\"vcpus\":1,\"cards\":0,\"memGb\":1,"
                    + "\"mould\":\"i\",\"pullGb\":1,\"samePlace\":false,\"apart\":false,"
                    + "\"loaner\":false,\"expectS\":0,\"stashEveryS\":0,\"stashS\":0}";

    private final VirtualClock clock = new VirtualClock();
    private final List<Request> commits = new ArrayList<>();
    private final List<Consumer<Reply>> replies = new ArrayList<>();
    private final KeyValueStoreClient store =
            new KeyValueStoreClient(this::send, clock, SETTINGS, 1);
    private final Jobs jobs = new Jobs();
    private boolean peerWithoutHistory;
    private int answeredCount;
    private final HistoryMembership membership =
            new HistoryMembership(
                    store, clock, "n-0", Set.of("n-1"), () -> peerWithoutHistory, BACKOFF_SECONDS);
    private final HistoryArchiver archiver =
            new HistoryArchiver(store, clock, membership, jobs, RETENTION_SECONDS, BACKOFF_SECONDS);

    private void send(Request request, Consumer<Reply> done) {
        if (request.path().equals("/commit")) {
            commits.add(request);
            replies.add(done);
        } else if (request.path().startsWith("/store?")) {
            done.accept(
                    reply(
                            200,
                            "{\"pairs\":[{\"key\":\"history-member/n-1\",\"value\":{},\"stamp\":1}],"
                                    + "\"truncated\":false,\"ledgerRev\":5}"));
        } else {
            done.accept(reply(200, "{\"key\":\"history-member/n-0\",\"value\":{},\"stamp\":1}"));
        }
    }

    private static Reply reply(int status, String body) {
        return new Reply(status, body.getBytes(StandardCharsets.UTF_8));
    }

    private static final class Jobs implements HistoryArchiver.ArchivableJobSource {
        private final Map<String, JobRecord> records = new HashMap<>();
        private final Set<String> stillNeeded = new HashSet<>();
        private final List<String> archivedIds = new ArrayList<>();
        private boolean isLeader = true;

        @Override
        public Condition termCondition() {
            return new Condition("leader", 3);
        }

        @Override
        public boolean mayArchive() {
            return isLeader;
        }

        @Override
        public JobRecord record(String id) {
            return records.get(id);
        }

        @Override
        public boolean isArchivable(JobRecord record) {
            return !stillNeeded.contains(record.id());
        }

        @Override
        public void archived(ArchivedJob job) {
            archivedIds.add(job.id());
            records.remove(job.id());
        }
    }

    @BeforeEach
    void jobsHaveEnded() throws MalformedMessageException {
        membership.register();
        for (int i = 1; i <= 20; i++) {
            String id = "run-" + i;
            byte[] json = RECORD.formatted(id).getBytes(StandardCharsets.UTF_8);
            JobRecord record =
                    JobRecord.accepted(Submission.parse(Json.object(json)), 1)
                            .ended(JobPhase.DONE, clock.timeOfDay())
                            .committed(10 + i);
            jobs.records.put(id, record);
            archiver.jobEnded(record);
        }
        archiver.start();
    }

    private void respondToLatest(int status, String body) {
        replies.get(replies.size() - 1).accept(reply(status, body));
        answeredCount = replies.size();
    }

    /** Advances the clock second by second and commits the latest transaction each time. */
    private void runAndCommit(double seconds) {
        for (double t = 0; t < seconds; t++) {
            if (replies.size() > answeredCount) {
                respondToLatest(200, COMMITTED);
            }
            clock.run(1);
        }
    }

    private String latestCommit() {
        return new String(commits.get(commits.size() - 1).body(), StandardCharsets.UTF_8);
    }

    private void runUntilDue() {
        clock.run(RETENTION_SECONDS + 2);
    }

    @Test
    void nothingIsArchivedBeforeTheRetentionIsOver() {
        clock.run(RETENTION_SECONDS - 1);
        assertEquals(0, commits.size());
    }

    @Test
    void aBatchIsConditionalOnTheLeadershipAndOnBothKeysOfEachJob() {
        runUntilDue();
        assertEquals(1, commits.size());
        assertTrue(latestCommit().contains("{\"key\":\"leader\",\"stamp\":3}"), latestCommit());
        assertTrue(latestCommit().contains("{\"key\":\"job/run-1\",\"stamp\":11}"), latestCommit());
        assertTrue(
                latestCommit().contains("{\"key\":\"ended/run-1\",\"stamp\":0}"), latestCommit());
        assertTrue(latestCommit().contains("{\"delete\":\"job/run-1\"}"), latestCommit());
        assertFalse(latestCommit().contains("run-7\""), "six jobs need all twelve writes");
        respondToLatest(200, COMMITTED);
        assertEquals(6, jobs.archivedIds.size());
    }

    /** At most a tenth of the key-value store's write rate limit. */
    @Test
    void archivingKeepsToItsShareOfTheWrites() {
        runUntilDue();
        double since = clock.now();
        while (jobs.archivedIds.size() < 18) {
            runAndCommit(1);
        }
        double writes = 2.0 * 12;
        assertTrue(
                clock.now() - since
                        >= writes / (0.1 * SETTINGS.storeLimits().writesPerSecond()) - 1);
    }

    @Test
    void nothingIsArchivedWhileTransactionsAreQueuedOrTheLeaseIsUncertain() {
        jobs.isLeader = false;
        runUntilDue();
        assertEquals(0, commits.size());
        jobs.isLeader = true;
        for (int i = 0; i < 100; i++) {
            store.compareAndSwap(List.of(), List.of(), result -> {});
        }
        int commitsBefore = commits.size();
        clock.run(0.3);
        assertTrue(commits.stream().skip(commitsBefore).noneMatch(c -> text(c).contains("ended/")));
        clock.run(10);
        assertTrue(commits.stream().anyMatch(c -> text(c).contains("ended/")));
    }

    private static String text(Request request) {
        return new String(request.body(), StandardCharsets.UTF_8);
    }

    @Test
    void nothingIsArchivedWhileAPeerRunsWithoutHistory() {
        peerWithoutHistory = true;
        runUntilDue();
        assertEquals(0, commits.size());
        peerWithoutHistory = false;
        clock.run(2);
        assertEquals(1, commits.size());
    }

    /** After status 429 or 503 or no response, other requests have priority at the store. */
    @Test
    void archivingBacksOffWhenTheStoreRefusesAndIsRetried() {
        runUntilDue();
        respondToLatest(429, "{}");
        clock.run(BACKOFF_SECONDS - 1);
        assertEquals(1, commits.size());
        clock.run(2);
        assertEquals(2, commits.size());
        runAndCommit(60);
        assertEquals(20, new HashSet<>(jobs.archivedIds).size());
    }

    /** An earlier copy of the transaction was applied; the watch will show the deletion. */
    @Test
    void anAlreadyArchivedRecordIsSkippedAndTheOthersAreArchived() {
        runUntilDue();
        respondToLatest(409, "{\"failed\":[\"job/run-1\"],\"ledgerRev\":50}");
        jobs.records.remove("run-1");
        runAndCommit(60);
        assertEquals(19, new HashSet<>(jobs.archivedIds).size());
        assertFalse(jobs.archivedIds.contains("run-1"));
    }

    /**
     * A version without the history accepted the job again after it was archived. Archiving the new
     * record would overwrite a final state that users may have received.
     */
    @Test
    void aJobThatEndedASecondTimeNeverOverwritesItsFirstEnd() {
        runUntilDue();
        respondToLatest(409, "{\"failed\":[\"ended/run-1\"],\"ledgerRev\":50}");
        runAndCommit(100);
        assertEquals(19, new HashSet<>(jobs.archivedIds).size());
        assertFalse(jobs.archivedIds.contains("run-1"));
    }

    @Test
    void aTransactionRejectedAsAWholeIsRetriedRecordByRecord() {
        runUntilDue();
        respondToLatest(400, "{\"error\":\"no\"}");
        clock.run(8);
        assertEquals(1, text(commits.get(1)).split("\"delete\"", -1).length - 1);
    }

    @Test
    void aJobThatIsStillNeededIsCheckedAgainLater() {
        jobs.stillNeeded.add("run-1");
        runUntilDue();
        assertFalse(latestCommit().contains("job/run-1\""), latestCommit());
        jobs.stillNeeded.clear();
        runAndCommit(RETENTION_SECONDS);
        assertTrue(commits.stream().anyMatch(c -> text(c).contains("job/run-1\"")));
    }
}
