package org.springmill.control.cluster;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.springmill.protocol.WorkerMessages.Heartbeat;

/** Which messages show that a worker's process was replaced, and which are taken for its own. */
class WorkerEpochTest {
    private static final long TERM = 5;
    private static final long TOKEN = WorkerEpoch.firstToken(TERM);

    private final WorkerEpoch worker = new WorkerEpoch(TERM);

    private static Heartbeat heartbeat(long epoch, long sequence, long token) {
        return new Heartbeat(
                "host-000001",
                "10.1.0.1:9000",
                "g8",
                "a",
                false,
                epoch,
                sequence,
                token,
                null,
                List.of());
    }

    private void receive(long epoch, long sequence, long token) {
        Heartbeat heartbeat = heartbeat(epoch, sequence, token);
        worker.recordHeartbeat(heartbeat);
        worker.accept(heartbeat, 0);
    }

    @Test
    void aDelayedDuplicateProvesNoNewProcess() {
        receive(1, 10, TOKEN);
        worker.challenge();
        assertFalse(worker.isOfNewProcess(heartbeat(1, 9, TOKEN)));
        assertFalse(worker.isLatestHeartbeat(heartbeat(1, 10, TOKEN)));
        receive(1, 11, worker.fencingToken());
        assertFalse(worker.isOfNewProcess(heartbeat(1, 11, worker.fencingToken())));
    }

    @Test
    void theTokenOfAChallengeInAnEarlierMessageProvesANewProcess() {
        receive(1, 10, TOKEN);
        worker.challenge();
        assertTrue(worker.isOfNewProcess(heartbeat(1, 2, worker.fencingToken())));
    }

    @Test
    void messagesOfTheEarlierProcessAreIgnoredOnceItWasReplaced() {
        receive(1, 10, TOKEN);
        worker.beginProcess(heartbeat(1, 2, 0), 0);
        assertFalse(worker.isNewerThanSeen(heartbeat(1, 11, TOKEN)));
        assertFalse(worker.isLatestHeartbeat(heartbeat(1, 11, TOKEN)));
        assertTrue(worker.isNewerThanSeen(heartbeat(1, 3, worker.fencingToken())));
        assertTrue(worker.isLatestHeartbeat(heartbeat(1, 3, worker.fencingToken())));
    }

    @Test
    void aLaterMessageWithALowerTokenIsOfAnotherProcess() {
        receive(1, 10, TOKEN);
        assertTrue(worker.hasLostToken(heartbeat(2, 1, 0)));
        assertFalse(worker.isNewerThanSeen(heartbeat(2, 1, 0)));
        assertFalse(worker.hasLostToken(heartbeat(1, 9, 0)));
    }
}
