package org.springmill.control.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.springmill.control.admission.AdmissionFixture.job;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.springmill.protocol.Priority;
import org.springmill.protocol.Settings.Team;
import org.springmill.protocol.Submission;

/** Tests the counts of active jobs and their memory bound. */
class MemoryBoundTest {
    private static final int JOBS = 1000;
    private static final double HEAP_BYTES =
            JOBS * ActiveJobs.bytesOf(job("red", Priority.LOW, 1, 0)) / MemoryBound.HEAP_SHARE;

    private final MemoryBound bound = new MemoryBound(HEAP_BYTES);
    private final ActiveJobs activeJobs = new ActiveJobs(0);

    private void fill(int jobs, Priority priority) {
        for (int i = 0; i < jobs; i++) {
            activeJobs.add(job("team-" + i % 10, priority, 1, 0));
        }
    }

    @ParameterizedTest
    @CsvSource({"LOW, 700", "NORMAL, 800", "HIGH, 900", "PRODUCTION, 950"})
    void lowerPrioritiesAreRefusedEarlier(Priority priority, int jobs) {
        fill(jobs - 1, Priority.LOW);
        assertEquals(0, bound.excessBytes(activeJobs, 0, job("red", priority, 1, 0), false));
        fill(1, Priority.LOW);
        assertTrue(bound.excessBytes(activeJobs, 0, job("red", priority, 1, 0), false) > 0);
    }

    @Test
    void jobsWithinGuaranteeMayUseWholeBound() {
        fill(999, Priority.PRODUCTION);
        assertEquals(0, bound.excessBytes(activeJobs, 0, job("red", Priority.LOW, 1, 0), true));
        fill(1, Priority.PRODUCTION);
        assertTrue(bound.excessBytes(activeJobs, 0, job("red", Priority.LOW, 1, 0), true) > 0);
    }

    @Test
    void oneTeamMayUseHalfOfBoundOfItsPriority() {
        for (int i = 0; i < 400; i++) {
            assertEquals(
                    0, bound.excessBytes(activeJobs, 0, job("red", Priority.NORMAL, 1, 0), false));
            activeJobs.add(job("red", Priority.NORMAL, 1, 0));
        }
        assertTrue(bound.excessBytes(activeJobs, 0, job("red", Priority.NORMAL, 1, 0), false) > 0);
        assertEquals(
                0, bound.excessBytes(activeJobs, 0, job("blue", Priority.NORMAL, 1, 0), false));
    }

    @Test
    void recordsOfEndedJobsCount() {
        long bytes = (long) (bound.boundBytes() * 0.7);
        assertTrue(bound.excessBytes(activeJobs, bytes, job("red", Priority.LOW, 1, 0), false) > 0);
    }

    @ParameterizedTest
    @CsvSource({
        // guaranteed CPUs and GPUs, tasks, GPUs per task, whether that is within the guarantee
        "0, 8, 8, 1, true",
        "0, 8, 9, 1, false",
        "0, 8, 1, 0, false",
        "10, 0, 10, 0, true",
        "10, 0, 11, 0, false",
        "10, 0, 1, 1, false",
        "4, 8, 5, 1, false",
        "0, 0, 1, 0, false"
    })
    void jobIsWithinGuaranteeIfItsResourcesAreGuaranteed(
            double cpus, double gpus, int tasks, double gpusEach, boolean within) {
        Team team = new Team("red", cpus, 100, gpus, 100);
        assertEquals(
                within,
                activeJobs.withinGuarantee(team, job("red", Priority.LOW, tasks, gpusEach)));
    }

    @Test
    void unfinishedJobsOfTeamUseUpGuarantee() {
        Team team = new Team("red", 0, 0, 8, 16);
        Submission earlier = job("red", Priority.LOW, 6, 1);
        activeJobs.add(earlier);
        assertTrue(!activeJobs.withinGuarantee(team, job("red", Priority.LOW, 3, 1)));
        activeJobs.removeEnded(earlier.id(), 1);
        assertTrue(activeJobs.withinGuarantee(team, job("red", Priority.LOW, 3, 1)));
    }

    /** A job counts once from its addition to its removal, even if either is repeated. */
    @Property(tries = 200, seed = "20261204")
    void countsMatchActiveJobs(
            @ForAll @Size(max = 200) java.util.List<@IntRange(min = 0, max = 59) Integer> events) {
        ActiveJobs counts = new ActiveJobs(0);
        java.util.Map<Integer, Submission> expected = new java.util.HashMap<>();
        Submission[] jobs = new Submission[20];
        for (int i = 0; i < jobs.length; i++) {
            jobs[i] = job("team-" + i % 3, Priority.NORMAL, 1 + 40 * i, 0);
        }
        for (int event : events) {
            int number = event % jobs.length;
            switch (event / jobs.length) {
                case 0 -> {
                    counts.add(jobs[number]);
                    expected.put(number, jobs[number]);
                }
                case 1 -> {
                    counts.removeEnded(jobs[number].id(), 1);
                    expected.remove(number);
                }
                default -> {
                    counts.removeUnaccepted(jobs[number].id());
                    expected.remove(number);
                }
            }
        }
        assertEquals(expected.size(), counts.jobCount());
        assertEquals(
                expected.values().stream().mapToLong(ActiveJobs::bytesOf).sum(), counts.bytes());
        assertEquals(
                expected.values().stream()
                        .filter(job -> job.team().equals("team-1"))
                        .mapToLong(ActiveJobs::bytesOf)
                        .sum(),
                counts.bytes("team-1"));
    }
}
