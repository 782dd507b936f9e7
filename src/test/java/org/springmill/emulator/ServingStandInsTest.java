package org.springmill.emulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.springmill.emulator.JobRegistry.EmulatedJob;
import org.springmill.protocol.JobKind;
import org.springmill.protocol.Priority;
import org.springmill.protocol.Submission;
import org.springmill.protocol.TaskId;
import org.springmill.sim.VirtualClock;
import org.springmill.transport.HttpHandler.Call;

/** Emulated model servers, progress of tasks and the sampler of loans. */
class ServingStandInsTest {
    private static final String JOB = "run-000001";
    private static final double CHECKPOINT_SECONDS = 10;

    private final VirtualClock clock = new VirtualClock();
    private final JobRegistry jobs = new JobRegistry();
    private Scenario scenario;

    @BeforeEach
    void readScenario() throws Exception {
        scenario = ScenarioFile.read(Path.of("scenarios/borrowing.hcl"));
    }

    private static Submission job(String id, int team, double checkpointSeconds) {
        return new Submission(
                id,
                "c",
                EmulatedUsers.teamName(team),
                JobKind.ARRAY,
                Priority.NORMAL,
                20,
                1,
                1,
                1,
                "i",
                1,
                null,
                null,
                false,
                false,
                false,
                100,
                checkpointSeconds,
                1,
                null,
                List.of());
    }

    /** Records the status and the time of each answer. */
    private final class Answers {
        private final List<Integer> statuses = new ArrayList<>();
        private final List<Double> times = new ArrayList<>();

        Call call() {
            return new Call() {
                @Override
                public String method() {
                    return "POST";
                }

                @Override
                public String path() {
                    return ServingUsers.PATH;
                }

                @Override
                public byte[] body() {
                    return new byte[0];
                }

                @Override
                public void reply(int status, byte[] body, int retryAfterSeconds) {
                    statuses.add(status);
                    times.add(clock.now());
                }
            };
        }
    }

    @Test
    void modelServerLoadsThenServesAtItsRateAndRefusesWhenItsQueueIsFull() {
        Scenario.Serving serving = scenario.serving().orElseThrow();
        ModelServer server = new ModelServer(clock, serving);
        Answers answers = new Answers();
        server.handle(answers.call());
        assertEquals(List.of(503), answers.statuses, "it has not loaded");
        clock.run(serving.loadSeconds());
        double begin = clock.now();
        for (int i = 0; i < 20; i++) {
            server.handle(answers.call());
        }
        clock.run(10);
        int queue = (int) serving.queue();
        assertEquals(queue + 1, answers.statuses.stream().filter(s -> s == 200).count());
        double last = answers.times.stream().mapToDouble(time -> time).max().orElseThrow();
        assertEquals((queue + 1) / serving.requestsPerSecond(), last - begin, 1e-6);
        server.stop();
        server.handle(answers.call());
        assertEquals(503, answers.statuses.get(answers.statuses.size() - 1));
    }

    @Test
    void killedTaskLosesWhatItDidSinceItsLastCheckpoint() {
        EmulatedJob job = new EmulatedJob(job(JOB, 0, CHECKPOINT_SECONDS), 100);
        jobs.upload(job);
        TaskId task = new TaskId(JOB, 0);
        assertEquals(100, jobs.secondsLeft(task, job));
        jobs.progress().killed(task, job.spec(), 27);
        assertEquals(7, jobs.progress().lostSeconds(), 1e-9);
        assertEquals(80, jobs.secondsLeft(task, job), 1e-9);
        jobs.progress().killed(task, job.spec(), 4);
        assertEquals(11, jobs.progress().lostSeconds(), 1e-9);
        jobs.progress().saved(task, 15);
        assertEquals(65, jobs.secondsLeft(task, job), 1e-9);
        assertEquals(2, jobs.progress().resumed());
        assertEquals(3, jobs.progress().stopped());
    }

    @Test
    void taskWithoutCheckpointsBeginsAnew() {
        EmulatedJob job = new EmulatedJob(job(JOB, 0, 0), 100);
        jobs.upload(job);
        TaskId task = new TaskId(JOB, 0);
        jobs.secondsLeft(task, job);
        jobs.progress().killed(task, job.spec(), 27);
        assertEquals(100, jobs.secondsLeft(task, job));
        assertEquals(27, jobs.progress().lostSeconds());
        assertEquals(1, jobs.progress().startedAnew());
    }

    /**
     * A team counts as below only if its tasks were stopped, until it has its entitlement again.
     */
    @Test
    void samplerFindsTeamsThatArePushedBelowTheirEntitlement() {
        LoanSampler sampler = new LoanSampler(clock, scenario, jobs);
        jobs.upload(new EmulatedJob(job(JOB, 1, 0), 100));
        sampler.start();
        sampler.startMeasuring();
        int guarantee = (int) scenario.teams().gpus();
        for (int i = 0; i < guarantee + 1; i++) {
            sampler.started(new TaskId(JOB, i));
        }
        sampler.ended(new TaskId(JOB, 0));
        sampler.ended(new TaskId(JOB, 1));
        clock.run(1);
        assertEquals(0, sampler.below(), "its tasks ended by themselves");
        sampler.started(new TaskId(JOB, 0));
        sampler.started(new TaskId(JOB, 1));
        sampler.stopCommanded(new TaskId(JOB, 0));
        clock.run(1);
        assertEquals(0, sampler.below(), "that was a loan");
        sampler.stopCommanded(new TaskId(JOB, 1));
        clock.run(1);
        assertTrue(sampler.below() >= 19, sampler.below() + " samples");
        sampler.ended(new TaskId(JOB, 1));
        sampler.started(new TaskId(JOB, 1));
        long before = sampler.below();
        clock.run(1);
        assertEquals(before, sampler.below());
    }

    @Test
    void samplerFindsTeamsAboveTheirLimit() {
        LoanSampler sampler = new LoanSampler(clock, scenario, jobs);
        jobs.upload(new EmulatedJob(job(JOB, 1, 0), 100));
        sampler.start();
        sampler.startMeasuring();
        for (int i = 0; i <= scenario.teams().gpusMax(); i++) {
            sampler.started(new TaskId(JOB, i));
        }
        clock.run(0.2);
        assertTrue(sampler.above() > 0);
    }
}
