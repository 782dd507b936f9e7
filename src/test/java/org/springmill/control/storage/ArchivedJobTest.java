package org.springmill.control.storage;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.springmill.protocol.Json;
import org.springmill.protocol.MalformedMessageException;
import org.springmill.protocol.Submission;
import org.springmill.protocol.UserMessages.JobPhase;

/** The stored form of an archived job; its bytes must never change. */
class ArchivedJobTest {
    private static final String RECORD =
            "{\"nameId\":\"run-000412\",\"grist\":\"c\",\"crew\":\"t\",\"shape\":\"%s\","
                    + "\"urgency\":\"prod\",\"sacks\":3,\"vcpus\":1,\"cards\":0,\"memGb\":1,"
                    + "\"mould\":\"i\",\"pullGb\":1,\"samePlace\":false,\"apart\":false,"
                    + "\"loaner\":false,\"expectS\":0,\"stashEveryS\":0,\"stashS\":0}";

    private static JobRecord record(String shape) throws MalformedMessageException {
        byte[] json = RECORD.formatted(shape).getBytes(StandardCharsets.UTF_8);
        return JobRecord.accepted(Submission.parse(Json.object(json)), 1).committed(7);
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "sweep   | DONE      | {\"v\":1,\"end\":\"done\",\"at\":5.5,\"tasks\":3,\"replicated\":false,\"rev\":9}",
                "service | CANCELLED | {\"v\":1,\"end\":\"cancelled\",\"at\":5.5,\"tasks\":3,\"replicated\":true,\"rev\":9}",
            })
    void theFinalStateIsStoredAndReadBack(String shape, JobPhase end, String stored)
            throws MalformedMessageException {
        ArchivedJob ended = ArchivedJob.of(record(shape).ended(end, 5.5).committed(9));
        assertEquals("ended/run-000412", ended.key());
        assertEquals(stored, new String(Json.bytes(ended.encode()), StandardCharsets.UTF_8));
        byte[] bytes = stored.getBytes(StandardCharsets.UTF_8);
        assertEquals(ended, ArchivedJob.decode(ended.key(), Json.object(bytes)));
    }

    @Test
    void aJobThatHasNotEndedHasNone() throws MalformedMessageException {
        JobRecord active = record("sweep");
        assertThrows(IllegalArgumentException.class, () -> ArchivedJob.of(active));
    }
}
