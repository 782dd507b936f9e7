package org.springmill.control.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * A controller is refused in the middle of a listing of the job records; a record that it has
 * received by then is archived before the next listing.
 */
class HistoryListingTest extends HistoryFixture {
    private static final int ENDING = 1;
    private static final int FIRST_SERVICE = 2;
    private static final int LAST_SERVICE = 7;
    private static final int DEPENDENT = 8;
    private static final int PAGE_ENTRIES = 3;
    private static final double ENDS_AFTER_SECONDS = 10;

    /** Guards against went_back: the controller called a job queued that others had called done. */
    @ParameterizedTest
    @ValueSource(ints = {1, 2})
    void aRecordOfAFailedFirstListingIsNotKeptOnceItIsArchived(int pagesServed) {
        submitJobs();
        int restarted = follower();
        cluster.restart(restarted);
        cluster.keyValueStore().refuseJobPagesAfter(restarted, pagesServed);
        archiveTheEndingJob();
        assertKnowsOnlyStoredRecords(restarted);
    }

    /** Guards against a leader that takes an archived job for one that has not ended. */
    @Test
    void aLeaderAfterAFailedFirstListingStartsNoArchivedJobButItsDependents() {
        submitJobs();
        int restarted = follower();
        cluster.restart(restarted);
        cluster.keyValueStore().refuseJobPagesAfter(restarted, 1);
        archiveTheEndingJob();
        for (int controller = 0; controller < CONTROLLERS; controller++) {
            if (controller != restarted) {
                cluster.kill(controller);
            }
        }
        cluster.run(30);
        assertEquals(restarted, cluster.leader());
        submit(restarted, 1, job(DEPENDENT, 1, ENDING));
        cluster.run(30);
        assertEquals(1, cluster.starts(id(ENDING) + "/0"));
        assertEquals("done", cluster.phase(restarted, id(DEPENDENT)));
        restartControllers();
        cluster.run(30);
        assertPhaseEverywhere("done", ENDING, DEPENDENT);
    }

    /** The same with a listing after too many changes had been missed. */
    @Test
    void aRecordOfAFailedLaterListingIsNotKeptOnceItIsArchived() {
        int lagging = follower();
        cluster.keyValueStore().refuseJobPagesAfter(lagging, 1);
        dropJobChangesFor(lagging);
        cluster.run(20);
        submitJobs();
        cluster.keyValueStore().dropWatchHistory();
        deliverAllMessages();
        archiveTheEndingJob();
        assertKnowsOnlyStoredRecords(lagging);
    }

    private void submitJobs() {
        cluster.keyValueStore().setMaxPageEntries(PAGE_ENTRIES);
        submit(cluster.leader(), ENDS_AFTER_SECONDS, job(ENDING, 1));
        for (int number = FIRST_SERVICE; number <= LAST_SERVICE; number++) {
            submit(cluster.leader(), FOREVER, service(number, 1));
        }
    }

    private void archiveTheEndingJob() {
        cluster.run(ENDS_AFTER_SECONDS);
        waitUntilMoved(ENDING);
        cluster.keyValueStore().serveRequests();
        cluster.run(10);
    }

    private void assertKnowsOnlyStoredRecords(int controller) {
        assertPhaseEverywhere("done", ENDING);
        assertEquals(cluster.keyValueStore().keysUnder("job/").size(), gauge(controller, "jobs"));
    }
}
