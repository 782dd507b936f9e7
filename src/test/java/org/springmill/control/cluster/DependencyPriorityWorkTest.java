package org.springmill.control.cluster;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.springmill.control.jobs.JobDirectory;
import org.springmill.control.storage.JobRecord;
import org.springmill.control.storage.KeyValueStoreClient;
import org.springmill.control.timing.Timeouts;
import org.springmill.protocol.Json;
import org.springmill.protocol.MalformedMessageException;
import org.springmill.protocol.Priority;
import org.springmill.protocol.Settings;
import org.springmill.protocol.SettingsFixtures;
import org.springmill.protocol.Submission;
import org.springmill.protocol.UserMessages.JobPhase;
import org.springmill.sim.VirtualClock;

/** The derived rank of each job, and the number of steps that its computation takes. */
class DependencyPriorityWorkTest {
    private static final double ESTIMATE_SECONDS = 10;

    /** A call may exceed its bound by the dependencies of the job that it processes last. */
    private static final int MAX_STEPS_PER_CALL = 6_000;

    /** The leader's ticks, each of which makes one call. */
    private static final int TICKS_PER_SECOND = 4;

    private static final Settings SETTINGS = SettingsFixtures.small();

    private final JobDirectory directory = directory();
    private final ClusterState clusterState = new ClusterState(SETTINGS);
    private final DependencyPriority dependencyPriority =
            new DependencyPriority(directory, clusterState);
    private long steps;
    private long version;

    private static JobDirectory directory() {
        VirtualClock clock = new VirtualClock();
        Timeouts timeouts = Timeouts.of(SETTINGS);
        KeyValueStoreClient store =
                new KeyValueStoreClient(
                        (request, done) -> {},
                        clock,
                        SETTINGS,
                        timeouts.storeRequestTimeoutSeconds());
        return new JobDirectory(store, clock, timeouts, 1);
    }

    private static String id(int number) {
        return "run-" + number;
    }

    private static JobRecord record(
            int number,
            String urgency,
            Double dueSeconds,
            List<Integer> dependencies,
            long version) {
        List<String> ids = dependencies.stream().map(n -> '"' + id(n) + '"').toList();
        String body =
                """
                {"nameId":"%s","grist":"c","crew":"t","shape":"sweep","urgency":"%s","sacks":1,"vcpus":1,
                 "cards":0,"memGb":1,"mould":"i","pullGb":1,"samePlace":false,"apart":false,"loaner":false,
                 "expectS":%s,"stashEveryS":0,"stashS":0,"dueS":%s,"waitsOn":[%s]}"""
                        .formatted(
                                id(number),
                                urgency,
                                ESTIMATE_SECONDS,
                                dueSeconds,
                                String.join(",", ids));
        try {
            Submission submission =
                    Submission.parse(Json.object(body.getBytes(StandardCharsets.UTF_8)));
            return new JobRecord(submission.id(), submission, JobPhase.QUEUED, version, 0, 1);
        } catch (MalformedMessageException e) {
            throw new AssertionError(e);
        }
    }

    private Job accept(int number, String urgency, Double dueSeconds, List<Integer> dependencies) {
        JobRecord record = record(number, urgency, dueSeconds, dependencies, ++version);
        directory.merge(record);
        return admit(record);
    }

    private Job admit(JobRecord record) {
        Job job = new Job(record.submission(), record.version());
        clusterState.add(job);
        countSteps(dependencyPriority.recordChange(job));
        return job;
    }

    private void end(Job job) {
        job.end(++version, 0);
        countSteps(dependencyPriority.recordChange(job));
        clusterState.removeJob(job);
    }

    private void countSteps(int stepsOfCall) {
        assertTrue(stepsOfCall <= MAX_STEPS_PER_CALL, stepsOfCall + " steps in one call");
        steps += stepsOfCall;
    }

    /** The number of ticks until nothing is pending. */
    private int propagateAll() {
        for (int ticks = 0; ; ticks++) {
            int stepsOfCall = dependencyPriority.propagatePending();
            if (stepsOfCall == 0) {
                return ticks;
            }
            countSteps(stepsOfCall);
        }
    }

    @Test
    void thousandsOfDependentsTakeAFewStepsEach() {
        int dependentCount = 4_000;
        Job common = accept(1, "normal", null, List.of());
        List<Job> dependents = new ArrayList<>();
        for (int i = 0; i < dependentCount; i++) {
            // Each has an earlier deadline than all before it, which changes the rank of the common
            // dependency.
            dependents.add(accept(2 + i, "normal", 100_000.0 - i, List.of(1)));
        }
        propagateAll();
        assertEquals(
                1 + 100_000.0 - (dependentCount - 1) - 2 * ESTIMATE_SECONDS,
                common.latestStartAt());
        assertTrue(steps <= 8L * dependentCount, steps + " steps to accept " + dependentCount);
        steps = 0;
        // The dependent with the earliest deadline ends first each time.
        for (int i = dependentCount - 1; i >= 0; i--) {
            end(dependents.get(i));
        }
        propagateAll();
        assertEquals(Double.POSITIVE_INFINITY, common.latestStartAt());
        assertTrue(steps <= 8L * dependentCount, steps + " steps to end " + dependentCount);
    }

    @Test
    void wideGraphIsUpdatedWithinASecond() {
        int firstCount = 500;
        int middleCount = 20;
        List<Integer> firstIds = new ArrayList<>();
        List<Job> jobs = new ArrayList<>();
        for (int i = 0; i < firstCount; i++) {
            firstIds.add(1 + i);
            jobs.add(accept(1 + i, "best_effort", null, List.of()));
        }
        List<Integer> middleIds = new ArrayList<>();
        for (int i = 0; i < middleCount; i++) {
            middleIds.add(1 + firstCount + i);
            jobs.add(accept(1 + firstCount + i, "best_effort", null, firstIds));
        }
        propagateAll();
        steps = 0;
        Job last = accept(10_000, "urgent", 1_000.0, middleIds);
        int ticks = propagateAll();
        assertTrue(ticks <= TICKS_PER_SECOND, ticks + " ticks");
        assertTrue(steps <= 2L * firstCount * middleCount, steps + " steps");
        assertEquals(1 + 1_000.0 - ESTIMATE_SECONDS, last.latestStartAt());
        for (Job job : jobs) {
            assertEquals(Priority.HIGH, job.priority(), job.id());
        }
        assertEquals(1 + 1_000.0 - 3 * ESTIMATE_SECONDS, jobs.get(0).latestStartAt());
    }

    @Test
    void deepChainIsUpdatedInBoundedCalls() {
        int chainLength = 15_000;
        Job first = accept(1, "normal", null, List.of());
        for (int i = 2; i < chainLength; i++) {
            accept(i, "normal", null, List.of(i - 1));
        }
        propagateAll();
        steps = 0;
        accept(chainLength, "urgent", 1_000_000.0, List.of(chainLength - 1));
        int ticks = propagateAll();
        assertEquals(Priority.HIGH, first.priority());
        assertEquals(1 + 1_000_000.0 - chainLength * ESTIMATE_SECONDS, first.latestStartAt());
        assertTrue(steps <= 3L * chainLength, steps + " steps");
        assertTrue(ticks <= 2 * TICKS_PER_SECOND, ticks + " ticks");
    }

    /** Guards against processing a long chain once for each of its many dependents. */
    @Test
    void changesFromManyDependentsOfALongChainArePropagatedTogether() {
        int chainLength = 1_000;
        int dependentCount = 1_000;
        Job first = accept(1, "normal", null, List.of());
        for (int i = 2; i <= chainLength; i++) {
            accept(i, "normal", null, List.of(i - 1));
        }
        propagateAll();
        steps = 0;
        for (int i = 0; i < dependentCount; i++) {
            accept(chainLength + 1 + i, "normal", 1_000_000.0 - i, List.of(chainLength));
        }
        propagateAll();
        assertEquals(
                1 + 1_000_000.0 - (dependentCount - 1) - (chainLength + 1) * ESTIMATE_SECONDS,
                first.latestStartAt());
        assertTrue(steps <= 300L * dependentCount, steps + " steps");
    }

    @Test
    void jobAddedAfterItsDependentsGetsTheirRank() {
        JobRecord dependency = record(1, "best_effort", null, List.of(), 1);
        directory.merge(record(2, "urgent", 100.0, List.of(1), 2));
        admit(directory.get(id(2)));
        directory.merge(dependency);
        Job addedLater = admit(dependency);
        propagateAll();
        assertEquals(Priority.HIGH, addedLater.priority());
        assertEquals(1 + 100.0 - 2 * ESTIMATE_SECONDS, addedLater.latestStartAt());
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void incrementalRanksEqualThoseOfAFullComputation(long seed) {
        Random random = new Random(seed);
        String[] urgencies = {"prod", "urgent", "normal", "best_effort"};
        List<Job> jobs = new ArrayList<>();
        for (int i = 0; i < 300; i++) {
            List<Integer> dependencies = new ArrayList<>();
            for (int n = random.nextInt(4); n > 0 && i > 0; n--) {
                dependencies.add(random.nextInt(i));
            }
            Double dueSeconds = random.nextInt(3) == 0 ? 100.0 + random.nextInt(1000) : null;
            jobs.add(accept(i, urgencies[random.nextInt(4)], dueSeconds, dependencies));
            if (random.nextInt(3) == 0) {
                Job ended = jobs.get(random.nextInt(jobs.size()));
                if (ended.isActive()) {
                    end(ended);
                }
            }
            propagateAll();
            for (Job job : jobs) {
                assertEquals(latestStart(job, jobs), job.isActive() ? job.latestStartAt() : 0);
                assertEquals(priority(job, jobs), job.isActive() ? job.priority() : null);
            }
        }
    }

    private static List<Job> activeDependents(Job job, List<Job> jobs) {
        return jobs.stream()
                .filter(other -> other.isActive() && other.spec().dependencies().contains(job.id()))
                .toList();
    }

    /** Reads the ranks of direct dependents only, since every job is checked. */
    private static double latestStart(Job job, List<Job> jobs) {
        if (!job.isActive()) {
            return 0;
        }
        Double dueSeconds = job.spec().deadlineSeconds();
        double due = dueSeconds == null ? Double.POSITIVE_INFINITY : 1 + dueSeconds;
        for (Job dependent : activeDependents(job, jobs)) {
            due = Math.min(due, dependent.latestStartAt());
        }
        return due - ESTIMATE_SECONDS;
    }

    private static Priority priority(Job job, List<Job> jobs) {
        if (!job.isActive()) {
            return null;
        }
        Priority highest = job.spec().priority();
        for (Job dependent : activeDependents(job, jobs)) {
            highest = dependent.priority().isAbove(highest) ? dependent.priority() : highest;
        }
        return highest;
    }
}
