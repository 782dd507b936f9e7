package org.springmill.control.storage;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.springmill.protocol.Json;
import org.springmill.protocol.MalformedMessageException;
import org.springmill.protocol.UserMessages.JobPhase;

/** Reads and writes job records of every generation, with the bytes that each version wrote. */
class JobRecordTest {
    private static final String SUBMISSION_FIELDS =
            """
            "nameId":"run-000412","grist":"train","crew":"vision","shape":"sweep","urgency":"urgent","sacks":16,\
            "vcpus":8.0,"cards":1.0,"memGb":64.0,"mould":"img-07","pullGb":6.2,"samePlace":true,"apart":false,\
            "loaner":true,"expectS":240.0,"stashEveryS":30.0,"stashS":4.0,"frames":["g8"],"dueS":900.0""";
    private static final String FIRST_GENERATION = "{\"v\":1,\"job\":{" + SUBMISSION_FIELDS + "}}";
    private static final String FIRST_GENERATION_ENDED =
            "{\"v\":1,\"end\":\"done\",\"at\":17.5,\"job\":{" + SUBMISSION_FIELDS + "}}";
    private static final String FIRST_WITHOUT_DEADLINE =
            FIRST_GENERATION.replace(",\"dueS\":900.0", "");
    private static final String WITH_ACCEPTANCE_TIME =
            "{\"v\":1,\"accepted\":12.25,\"job\":{" + SUBMISSION_FIELDS + "}}";
    private static final String WITH_ACCEPTANCE_TIME_ENDED =
            "{\"v\":1,\"end\":\"done\",\"at\":17.5,\"accepted\":12.25,\"job\":{"
                    + SUBMISSION_FIELDS
                    + "}}";
    private static final String SECOND_GENERATION =
            "{\"v\":1,\"accepted\":12.25,\"job\":{"
                    + SUBMISSION_FIELDS
                    + ",\"waitsOn\":[\"run-000398\",\"run-000405\"]}}";
    private static final String SECOND_GENERATION_ENDED =
            "{\"v\":1,\"end\":\"cancelled\",\"at\":17.5,\"accepted\":12.25,\"job\":{"
                    + SUBMISSION_FIELDS
                    + ",\"waitsOn\":[\"run-000398\",\"run-000405\"]}}";

    private static JobRecord read(String bytes) throws MalformedMessageException {
        return JobRecord.decode(
                "job/run-000412", Json.object(bytes.getBytes(StandardCharsets.UTF_8)), 5);
    }

    private static String written(JobRecord job) {
        return new String(Json.bytes(job.encode()), StandardCharsets.UTF_8);
    }

    @Test
    void aRecordOfTheFirstGenerationIsReadAndWrittenUnchanged() throws MalformedMessageException {
        JobRecord job = read(FIRST_GENERATION);
        assertEquals(List.of(), job.submission().dependencies());
        assertEquals(JobPhase.QUEUED, job.phase());
        assertEquals(FIRST_GENERATION, written(job));
        assertEquals(FIRST_GENERATION_ENDED, written(job.ended(JobPhase.DONE, 17.5)));
        assertEquals(job.ended(JobPhase.DONE, 17.5), read(FIRST_GENERATION_ENDED));
    }

    /** Earlier versions must be able to read and end such a record, which is the common form. */
    @Test
    void aNewRecordWithoutDeadlineOrDependenciesHasTheBytesOfTheFirstGeneration()
            throws MalformedMessageException {
        JobRecord accepted = JobRecord.accepted(read(FIRST_WITHOUT_DEADLINE).submission(), 12.25);
        assertEquals(FIRST_WITHOUT_DEADLINE, written(accepted));
        assertEquals(
                FIRST_GENERATION_ENDED.replace(",\"dueS\":900.0", ""),
                written(accepted.ended(JobPhase.DONE, 17.5)));
    }

    @Test
    void aRecordWithADeadlineKeepsItsAcceptanceTimeThroughEveryRewrite()
            throws MalformedMessageException {
        JobRecord job = read(WITH_ACCEPTANCE_TIME);
        assertEquals(List.of(), job.submission().dependencies());
        assertEquals(900.0, job.submission().deadlineSeconds());
        assertEquals(12.25, job.acceptedAt());
        assertEquals(WITH_ACCEPTANCE_TIME, written(job));
        assertEquals(WITH_ACCEPTANCE_TIME, written(JobRecord.accepted(job.submission(), 12.25)));
        assertEquals(
                WITH_ACCEPTANCE_TIME_ENDED, written(job.ended(JobPhase.DONE, 17.5).committed(9)));
        assertEquals(job.ended(JobPhase.DONE, 17.5), read(WITH_ACCEPTANCE_TIME_ENDED));
        // A version that does not know the field ends the job without it.
        assertEquals(0, read(FIRST_GENERATION_ENDED).acceptedAt());
    }

    @Test
    void aRecordOfTheSecondGenerationKeepsItsDependenciesThroughEveryRewrite()
            throws MalformedMessageException {
        JobRecord job = read(SECOND_GENERATION);
        assertEquals(List.of("run-000398", "run-000405"), job.submission().dependencies());
        assertEquals(12.25, job.acceptedAt());
        assertEquals(SECOND_GENERATION, written(job));
        assertEquals(SECOND_GENERATION, written(JobRecord.accepted(job.submission(), 12.25)));
        assertEquals(
                SECOND_GENERATION_ENDED, written(job.ended(JobPhase.CANCELLED, 17.5).committed(9)));
        assertEquals(job.ended(JobPhase.CANCELLED, 17.5), read(SECOND_GENERATION_ENDED));
    }

    /**
     * Otherwise a job accepted under larger limits could not end, and its user would wait forever.
     */
    @Test
    void aRecordLargerThanTheCurrentLimitCanEnd() throws MalformedMessageException {
        StringBuilder types = new StringBuilder("\"g8\"");
        for (int i = 0; i < 300; i++) {
            types.append(",\"type-").append(i).append('"');
        }
        JobRecord job = read(FIRST_GENERATION.replace("\"g8\"", types));
        assertTrue(job.maxBytes(17.5) > 2048);
        String ended =
                new String(
                        Json.bytes(job.ended(JobPhase.DONE, 17.5).encode(2048)),
                        StandardCharsets.UTF_8);
        assertEquals(FIRST_GENERATION_ENDED.replace(",\"frames\":[\"g8\"]", ""), ended);
    }
}
