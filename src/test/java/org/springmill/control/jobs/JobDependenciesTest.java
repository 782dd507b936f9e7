package org.springmill.control.jobs;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.springmill.control.storage.JobRecord;
import org.springmill.protocol.Json;
import org.springmill.protocol.MalformedMessageException;
import org.springmill.protocol.Submission;
import org.springmill.protocol.UserMessages.JobPhase;

class JobDependenciesTest {
    private final Map<String, JobRecord> jobs = new HashMap<>();
    private final JobDependencies dependencies = new JobDependencies(jobs, id -> null);

    /** The submission for a line such as "3<1,2": job 3 depends on 1 and 2. */
    private static Submission job(String line) throws MalformedMessageException {
        String[] parts = line.split("<");
        String body =
                """
                {"nameId":"run-%s","grist":"c","crew":"t","shape":"sweep","urgency":"normal","sacks":1,"vcpus":1,
                 "cards":0,"memGb":1,"mould":"i","pullGb":1,"samePlace":false,"apart":false,"loaner":false,"expectS":1,
                 "stashEveryS":0,"stashS":0,"waitsOn":[%s]}"""
                        .formatted(
                                parts[0],
                                parts.length == 1
                                        ? ""
                                        : "\"run-" + parts[1].replace(",", "\",\"run-") + '"');
        return Submission.parse(Json.object(body.getBytes(StandardCharsets.UTF_8)));
    }

    private static JobRecord record(String line, JobPhase phase, long version)
            throws MalformedMessageException {
        return new JobRecord("run-" + line.split("<")[0], job(line), phase, version, 7, 0);
    }

    private String cancelled() {
        TreeSet<String> ids = new TreeSet<>();
        jobs.values().stream()
                .filter(JobRecord::cancelled)
                .forEach(job -> ids.add(job.id().substring(4)));
        return String.join(" ", ids);
    }

    /**
     * The result must not depend on the order in which records are read: pages of a list are sorted
     * by key, changes by revision.
     */
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            quoteCharacter = '`',
            value = {
                "1 2<1 3<2                  | 1     | ``    | 1 2 3",
                "1 2<1 3<2                  | 2     | 1     | 2 3",
                "1 2<1 3<1 4<2,3            | 3     | 1     | 3 4",
                "1 2<1 3<1 4<2,3 5 6<4,5    | 1     | 5     | 1 2 3 4 6",
                "1 2 3<1 4<2 5<3,4          | 2     | 1 3   | 2 4 5",
                "1 2 3<1                    | 2     | 1     | 2",
                // A dependent cancelled by its own record, and one whose own record is done
                // although
                // a dependency is cancelled; both count as cancelled.
                "1 2<1 3<2                  | 1 2   | ``    | 1 2 3",
                "1 2<1 3<2                  | 1     | 2     | 1 2 3",
            })
    void derivedCancellationsDoNotDependOnTheOrderOfRecords(
            String graph, String cancelled, String done, String expected)
            throws MalformedMessageException {
        List<JobRecord> records = new ArrayList<>();
        for (String line : graph.split(" ")) {
            String id = line.split("<")[0];
            records.add(record(line, JobPhase.QUEUED, Long.parseLong(id)));
            if (List.of(cancelled.split(" ")).contains(id)) {
                records.add(record(line, JobPhase.CANCELLED, 100 + Long.parseLong(id)));
            } else if (List.of(done.split(" ")).contains(id)) {
                records.add(record(line, JobPhase.DONE, 100 + Long.parseLong(id)));
            }
        }
        Random random = new Random(5);
        for (int order = 0; order < 20; order++) {
            jobs.clear();
            JobDependencies reordered = new JobDependencies(jobs, id -> null);
            for (JobRecord next : records) {
                JobRecord known = jobs.get(next.id());
                if (known == null || known.version() < next.version()) {
                    reordered.merge(next);
                }
            }
            assertEquals(expected, cancelled(), records.toString());
            Collections.shuffle(records, random);
        }
    }

    @Test
    void cancellationReachesEveryJobOfADeepAndWideGraph() throws MalformedMessageException {
        int jobCount = 50_000;
        dependencies.merge(record("1", JobPhase.QUEUED, 1));
        for (int i = 2; i <= jobCount; i++) {
            dependencies.merge(record(i + "<" + (i % 2 == 0 ? 1 : i - 1), JobPhase.QUEUED, i));
        }
        assertEquals(
                jobCount, dependencies.merge(record("1", JobPhase.CANCELLED, jobCount + 1)).size());
        assertEquals(jobCount - 1, dependencies.pendingPersistence(jobCount).size());
        // Once its cancellation is stored, a record is no longer pending; all others still are.
        assertEquals(1, dependencies.merge(record("2<1", JobPhase.CANCELLED, jobCount + 2)).size());
        assertEquals(jobCount - 2, dependencies.pendingPersistence(jobCount).size());
    }

    @Test
    void jobIsReadyOnceAllDependenciesAreDone() throws MalformedMessageException {
        Submission last = job("4<1,2,3");
        assertEquals("needs run-1, which was never accepted", dependencies.rejectionReason(last));
        for (int i = 1; i <= 3; i++) {
            dependencies.merge(record(Integer.toString(i), JobPhase.QUEUED, i));
        }
        assertEquals(null, dependencies.rejectionReason(last));
        dependencies.merge(record("1", JobPhase.DONE, 11));
        dependencies.merge(record("3", JobPhase.DONE, 13));
        assertFalse(dependencies.isReady(last));
        dependencies.merge(record("2", JobPhase.DONE, 12));
        assertTrue(dependencies.isReady(last));
        assertEquals(13, dependencies.readySinceRevision(last));
    }
}
