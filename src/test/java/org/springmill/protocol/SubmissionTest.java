package org.springmill.protocol;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class SubmissionTest {
    private static final String VALID =
            """
            {"nameId":"run-000412","grist":"train","crew":"vision","shape":"sweep","urgency":"urgent","sacks":16,
             "vcpus":8.0,"cards":1.0,"memGb":64.0,"mould":"img-07","pullGb":6.2,"frames":["g8"],"yard":null,
             "samePlace":true,"apart":false,"loaner":true,"expectS":240.0,"stashEveryS":30.0,"stashS":4.0,
             "dueS":900.0,"unheardOf":[1]}""";

    private static Submission parse(String body) throws MalformedMessageException {
        return Submission.parse(Json.object(body.getBytes(StandardCharsets.UTF_8)));
    }

    @Test
    void aStoredSubmissionIsReadBackUnchanged() throws MalformedMessageException {
        Submission job = parse(VALID);
        assertEquals(job, Submission.parse(job.toJson()));
        assertEquals(16, job.tasks());
        assertEquals(Priority.HIGH, job.priority());
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            quoteCharacter = '`',
            value = {
                "\"nameId\":\"run-000412\" | \"nameId\":\"job-1\"         | nameId",
                "\"nameId\":\"run-000412\" | \"nameId\":7                 | nameId",
                "\"grist\":\"train\",      | ``                           | grist",
                "\"crew\":\"vision\"       | \"crew\":\"\"                | crew",
                "\"shape\":\"sweep\"       | \"shape\":\"ring\"           | shape",
                "\"urgency\":\"urgent\"    | \"urgency\":\"asap\"         | urgency",
                "\"sacks\":16              | \"sacks\":0                  | sacks",
                "\"sacks\":16              | \"sacks\":100001             | sacks",
                "\"sacks\":16              | \"sacks\":1.5                | sacks",
                "\"sacks\":16              | \"sacks\":99999999999999999999 | sacks",
                "\"vcpus\":8.0             | \"vcpus\":-1                 | vcpus",
                "\"cards\":1.0             | \"cards\":\"1\"              | cards",
                "\"memGb\":64.0            | \"memGb\":1e999              | memGb",
                "\"frames\":[\"g8\"]       | \"frames\":\"g8\"            | frames",
                "\"frames\":[\"g8\"]       | \"frames\":[8]               | frames",
                "\"yard\":null             | \"yard\":5                   | yard",
                "\"samePlace\":true        | \"samePlace\":\"yes\"        | samePlace",
                "\"loaner\":true,          | ``                           | loaner",
                "\"dueS\":900.0            | \"dueS\":-3                  | dueS",
            })
    void theErrorNamesTheInvalidField(String from, String to, String field) {
        assertTrue(VALID.contains(from));
        MalformedMessageException e =
                assertThrows(MalformedMessageException.class, () -> parse(VALID.replace(from, to)));
        assertTrue(e.getMessage().startsWith(field), e.getMessage());
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {"[]", "17", "{", "''", "nonsense", "{} {}", "null"})
    void aBodyThatIsNoObjectIsRefused(String body) {
        assertThrows(MalformedMessageException.class, () -> parse(body));
    }

    @ParameterizedTest
    @CsvSource({"1, 1", "2, 1", "5, 3", "9, 5"})
    void aZoneMayHoldHalfOfASpreadJobRoundedUp(int tasks, int perZone)
            throws MalformedMessageException {
        assertEquals(
                perZone,
                parse(
                                VALID.replace("\"sacks\":16", "\"sacks\":" + tasks)
                                        .replace("\"apart\":false", "\"apart\":true"))
                        .maxTasksPerZone());
    }

    private static String withDependencies(String names) {
        return VALID.replace("\"unheardOf\":[1]", "\"waitsOn\":" + names.replace('~', '"'));
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "null                                    | ''",
                "[]                                      | ''",
                "[~run-7~]                               | run-7",
                "[~run-7~,~run-000007~]                  | run-7 run-000007",
                "[~run-9~,~run-7~,~run-9~,~run-9~]       | run-9 run-7",
                "[~run-123456789012345678~]              | run-123456789012345678",
            })
    void eachDependencyCountsOnceInTheOrderOfItsFirstMention(String names, String expected)
            throws MalformedMessageException {
        Submission job = parse(withDependencies(names));
        assertEquals(expected, String.join(" ", job.dependencies()));
        assertEquals(job, Submission.parse(job.toJson()));
        assertEquals(!expected.isEmpty(), job.toJson().has("waitsOn"));
    }

    @Test
    void aSubmissionWithoutTheFieldHasNoDependencies() throws MalformedMessageException {
        assertEquals(List.of(), parse(VALID).dependencies());
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "~run-7~                     | waitsOn is not a list",
                "~~                          | waitsOn is not a list",
                "{}                          | waitsOn is not a list",
                "7                           | waitsOn is not a list",
                "false                       | waitsOn is not a list",
                "[7]                         | waitsOn holds something that is no job's id",
                "[null]                      | waitsOn holds something that is no job's id",
                "[[~run-7~]]                 | waitsOn holds something that is no job's id",
                "[~~]                        | waitsOn holds something that is no job's id",
                "[~run-7~,~job-7~]           | waitsOn holds something that is no job's id",
                "[~run-7 ~]                  | waitsOn holds something that is no job's id",
                "[~run-1234567890123456789~] | waitsOn holds something that is no job's id",
                "[~run-7~,~run-000412~]      | waitsOn names the job itself",
            })
    void malformedDependenciesAreRefused(String names, String message) {
        MalformedMessageException e =
                assertThrows(MalformedMessageException.class, () -> parse(withDependencies(names)));
        assertEquals(message, e.getMessage());
    }
}
