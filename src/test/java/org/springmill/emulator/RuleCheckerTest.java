package org.springmill.emulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.springmill.emulator.JobRegistry.EmulatedJob;
import org.springmill.protocol.JobKind;
import org.springmill.protocol.Priority;
import org.springmill.protocol.Submission;
import org.springmill.protocol.TaskId;
import org.springmill.protocol.UserMessages.JobPhase;
import org.springmill.sim.VirtualClock;

/** The rule checker reports each kind of violation, and nothing if the rules hold. */
class RuleCheckerTest {
    private static final String JOB = "run-000001";
    private static final TaskId TASK = new TaskId(JOB, 0);
    private static final String MACHINE = "host-000001";
    private static final String OTHER = "host-000002";

    private final VirtualClock clock = new VirtualClock();
    private final JobRegistry jobs = new JobRegistry();
    private RuleChecker rules;

    @BeforeEach
    void uploadJobOfTwoTasks() throws Exception {
        Scenario scenario = ScenarioFile.read(Path.of("scenarios/smoke.hcl"));
        rules = new RuleChecker(clock, scenario, jobs);
        rules.start();
        upload(JOB, 2, 1);
    }

    private void upload(String id, int tasks, double cpus) {
        Submission spec =
                new Submission(
                        id,
                        "c",
                        "team-000",
                        JobKind.ARRAY,
                        Priority.NORMAL,
                        tasks,
                        cpus,
                        0,
                        1,
                        "i",
                        1,
                        null,
                        null,
                        false,
                        false,
                        false,
                        1,
                        0,
                        0,
                        null,
                        List.of());
        jobs.upload(new EmulatedJob(spec, 1));
    }

    private void assertViolated(String rule) {
        assertEquals(1, rules.violationCount(), rules.violations().toString());
        assertTrue(rules.violations().get(0).startsWith(rule + ": "), rules.violations().get(0));
    }

    private void runBothTasks() {
        for (int i = 0; i < 2; i++) {
            rules.started(new TaskId(JOB, i), MACHINE);
            rules.ended(new TaskId(JOB, i), MACHINE, true);
        }
    }

    @Test
    void aJobThatRunsOnceAndIsDoneBreaksNothing() {
        rules.phaseReceived(JOB, JobPhase.QUEUED, clock.now());
        runBothTasks();
        rules.phaseReceived(JOB, JobPhase.DONE, clock.now());
        rules.phaseReceived(JOB, JobPhase.DONE, clock.now());
        clock.run(100);
        assertEquals(0, rules.violationCount());
        assertEquals(2, rules.ends());
    }

    @Test
    void aTaskOnTwoMachinesIsFound() {
        rules.started(TASK, MACHINE);
        rules.started(TASK, OTHER);
        assertViolated("ran_twice");
    }

    @Test
    void taskOfClearedMachineMayStartElsewhere() {
        rules.started(TASK, MACHINE);
        rules.cleared(MACHINE);
        rules.started(TASK, OTHER);
        assertEquals(0, rules.violationCount());
        assertEquals(1, rules.lost());
    }

    /** The limit of the scenario's teams is 400 CPUs. */
    @Test
    void aTeamAboveItsLimitIsFound() {
        upload("run-000002", 2, 300);
        rules.started(new TaskId("run-000002", 0), MACHINE);
        assertEquals(0, rules.violationCount());
        rules.started(new TaskId("run-000002", 1), OTHER);
        assertViolated("quota");
    }

    /** The scenario's cancel_s is 44. */
    @Test
    void taskRunningTooLongAfterCancellationIsFound() {
        rules.started(TASK, MACHINE);
        rules.phaseReceived(JOB, JobPhase.CANCELLED, clock.now());
        clock.run(43);
        assertEquals(0, rules.violationCount());
        clock.run(2);
        assertViolated("ran_cancelled");
    }

    @Test
    void jobReportedDoneTooEarlyIsFound() {
        rules.started(TASK, MACHINE);
        rules.ended(TASK, MACHINE, true);
        rules.phaseReceived(JOB, JobPhase.DONE, clock.now());
        assertViolated("not_done");
    }

    @Test
    void changeOfFinalPhaseIsFound() {
        rules.phaseReceived(JOB, JobPhase.CANCELLED, clock.now());
        rules.phaseReceived(JOB, JobPhase.QUEUED, clock.now());
        assertViolated("went_back");
    }

    /** A late response to an earlier request may contain an older phase, but no other final one. */
    @Test
    void lateResponseToEarlierRequestIsNoViolation() {
        double askedAt = clock.now();
        clock.run(1);
        rules.phaseReceived(JOB, JobPhase.CANCELLED, clock.now());
        rules.phaseReceived(JOB, JobPhase.RUNNING, askedAt);
        assertEquals(0, rules.violationCount());
        rules.phaseReceived(JOB, JobPhase.DONE, askedAt);
        assertViolated("went_back");
    }

    @Test
    void taskStartedAfterJobReportedDoneIsFound() {
        runBothTasks();
        rules.phaseReceived(JOB, JobPhase.DONE, clock.now());
        rules.started(TASK, MACHINE);
        assertViolated("went_back");
    }

    @Test
    void aTaskOfNoJobAndAForgottenJobAreFound() {
        rules.started(new TaskId("run-000077", 0), MACHINE);
        assertViolated("invented");
        rules.forgotten(JOB);
        assertEquals(2, rules.violationCount());
    }
}
