package org.springmill.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.springmill.transport.HttpClient.Reply;
import org.springmill.transport.HttpClient.Request;

/** Each violation is reported under exactly the rule that it breaks. No controller runs. */
class InvariantCheckerTest {
    private static final String JOB = "run-000001";
    private static final String DEPENDENT = "run-000002";
    private static final double AFTER_CANCEL_DEADLINE = SimSettings.CANCEL_SECONDS + 1;

    private SimulatedCluster cluster;
    private InvariantChecker invariants;

    @BeforeEach
    void twoMachinesInEachOfTwoZonesAndNoController() {
        cluster = new SimulatedCluster();
        for (int i = 0; i < SimSettings.CONTROLLERS; i++) {
            cluster.kill(i);
        }
        cluster.machines("large", "a", 2).machines("large", "b", 2).run(1);
        invariants = cluster.invariants();
    }

    private static ObjectNode job(String id, int tasks) {
        return SimulatedCluster.job(id, "red", "sweep", tasks, 1, 0);
    }

    private void answer(String method, String path, String body, int status, String phase) {
        Request request = new Request("", method, path, body.getBytes(StandardCharsets.UTF_8), 5);
        invariants.requested(request);
        String reply = "{\"phase\":\"" + phase + "\"}";
        invariants.answered(
                request,
                cluster.clock().now(),
                new Reply(status, reply.getBytes(StandardCharsets.UTF_8)));
    }

    private void accept(ObjectNode job) {
        answer("POST", "/submissions", job.toString(), 201, "queued");
    }

    private void poll(String id, int status, String phase) {
        answer("GET", "/submissions/" + id, "", status, phase);
    }

    private void cancel(String id) {
        answer("POST", "/submissions/" + id + "/withdraw", "", 200, "cancelled");
    }

    /** Machines 0 and 1 are in zone a, the others in zone b. */
    private SimWorker machine(int number) {
        return List.copyOf(cluster.cloud().machines().values()).get(number);
    }

    private void start(String task, SimWorker machine) {
        String command =
                "{\"baton\":1,\"shift\":%d,\"orders\":[{\"verb\":\"start\",\"sack\":\"%s\",\"try\":1}]}";
        machine.executeCommands(
                command.formatted(machine.epoch(), task).getBytes(StandardCharsets.UTF_8));
        cluster.run(1.5);
    }

    private void assertViolations(Rule... rules) {
        Set<String> broken =
                invariants.violationsFound().stream()
                        .map(violation -> violation.split(" ")[0])
                        .collect(Collectors.toSet());
        assertEquals(
                Set.of(rules).stream().map(Rule::toString).collect(Collectors.toSet()), broken);
    }

    @Test
    void validHistoryBreaksNoRule() {
        accept(job(JOB, 1));
        accept(job(DEPENDENT, 1));
        start(JOB + "/0", machine(0));
        invariants.done(JOB + "/0");
        poll(JOB, 200, "done");
        poll(JOB, 503, "");
        cancel(DEPENDENT);
        poll(DEPENDENT, 200, "cancelled");
        poll("run-000009", 404, "");
        answer(
                "POST",
                "/submissions",
                job("run-000003", 1).put("crew", "green").toString(),
                422,
                "");
        assertViolations();
    }

    @Test
    void taskStartedWhileItIsOnAnotherMachineRanTwice() {
        accept(job(JOB, 1));
        start(JOB + "/0", machine(0));
        start(JOB + "/0", machine(1));
        assertViolations(Rule.RAN_TWICE);
    }

    @Test
    void teamAboveItsLimitBreaksItsQuota() {
        accept(SimulatedCluster.job(JOB, "red", "sweep", 3, 1, 8));
        start(JOB + "/0", machine(0));
        start(JOB + "/1", machine(1));
        assertViolations();
        start(JOB + "/2", machine(2));
        assertViolations(Rule.QUOTA);
    }

    @ParameterizedTest
    @CsvSource({"frames", "yard", "samePlace", "apart"})
    void taskStartedWhereItsJobDoesNotAllowItIsInTheWrongPlace(String restriction) {
        ObjectNode job = job(JOB, 2);
        switch (restriction) {
            case "frames" -> job.putArray("frames").add("small");
            case "yard" -> job.put("yard", "b");
            default -> job.put(restriction, true);
        }
        accept(job);
        start(JOB + "/0", machine(0));
        start(JOB + "/1", machine(restriction.equals("samePlace") ? 2 : 0));
        assertViolations(Rule.WRONG_PLACE);
    }

    @Test
    void taskStartedOnASpotMachineThatItsJobDoesNotAllowIsInTheWrongPlace() {
        accept(job(JOB, 1));
        SimWorker spot = cluster.cloud().add("large", "a", true, 0);
        cluster.run(1);
        start(JOB + "/0", spot);
        assertViolations(Rule.WRONG_PLACE);
    }

    @Test
    void cancelledTaskThatStartsAfterTheDeadlineRanCancelled() {
        accept(job(JOB, 1));
        cancel(JOB);
        start(JOB + "/0", machine(0));
        assertViolations();
        assertEquals(List.of(JOB + "/0"), invariants.startsAfterCancel());
        cluster.run(AFTER_CANCEL_DEADLINE);
        start(JOB + "/0", machine(0));
        assertViolations(Rule.RAN_CANCELLED);
    }

    @ParameterizedTest
    @CsvSource({"GET, 404", "POST, 404", "POST, 400", "POST, 422"})
    void acceptedJobThatIsUnknownOrRefusedLaterIsForgotten(String method, int status) {
        accept(job(JOB, 1));
        cluster.run(1);
        if (method.equals("GET")) {
            poll(JOB, status, "");
        } else {
            answer("POST", "/submissions", job(JOB, 1).toString(), status, "");
        }
        assertViolations(Rule.FORGOTTEN);
    }

    @Test
    void jobWithoutAnswersWhileMostGetAnswersIsForgotten() {
        accept(job(JOB, 1));
        accept(job(DEPENDENT, 1));
        accept(job("run-000003", 1));
        invariants.pollingStarted();
        for (int i = 0; i < 20; i++) {
            poll(DEPENDENT, 200, "queued");
            poll("run-000003", 200, "queued");
            cluster.run(5);
        }
        assertViolations(Rule.FORGOTTEN);
    }

    @Test
    void jobWithoutAnswersAfterAllFailuresIsForgotten() {
        accept(job(JOB, 1));
        invariants.pollingStarted();
        cluster.run(60);
        assertViolations();
        invariants.failuresEnded();
        cluster.run(80);
        assertViolations(Rule.FORGOTTEN);
    }

    @Test
    void jobThatNobodySubmittedIsInventedIfItIsReported() {
        poll("run-000009", 200, "queued");
        assertViolations(Rule.INVENTED);
    }

    @Test
    void jobThatNobodySubmittedIsInventedIfItRuns() {
        start("run-000009/0", machine(0));
        assertViolations(Rule.INVENTED);
    }

    @Test
    void jobReportedDoneWithAnUnfinishedTaskIsNotDone() {
        accept(job(JOB, 2));
        invariants.done(JOB + "/0");
        poll(JOB, 200, "done");
        assertViolations(Rule.NOT_DONE);
    }

    @ParameterizedTest
    @CsvSource({"queued", "running", "done"})
    void cancelledJobReportedInAnotherPhaseWentBack(String phase) {
        accept(job(JOB, 1));
        invariants.done(JOB + "/0");
        cancel(JOB);
        poll(JOB, 200, phase);
        assertViolations(Rule.WENT_BACK);
    }

    @Test
    void jobReportedCancelledWithoutRequestWentBack() {
        accept(job(JOB, 1));
        poll(JOB, 200, "cancelled");
        assertViolations(Rule.WENT_BACK);
    }

    @Test
    void taskStartedBeforeItsDependenciesAreDoneIsTooEarly() {
        acceptJobAndDependent(2);
        invariants.done(JOB + "/0");
        start(DEPENDENT + "/0", machine(0));
        assertViolations(Rule.TOO_EARLY);
    }

    @Test
    void taskStartedAfterItsDependenciesAreDoneIsNotTooEarly() {
        acceptJobAndDependent(2);
        invariants.done(JOB + "/0");
        invariants.done(JOB + "/1");
        start(DEPENDENT + "/0", machine(0));
        assertViolations();
    }

    @ParameterizedTest
    @CsvSource({"queued", "running"})
    void indirectDependentNotCancelledInTimeIsOrphaned(String phase) {
        acceptJobAndDependent(1);
        ObjectNode last = job("run-000003", 1);
        last.putArray("waitsOn").add(DEPENDENT);
        accept(last);
        cancel(JOB);
        cluster.run(SimSettings.CANCEL_SECONDS - 1);
        poll("run-000003", 200, phase);
        assertViolations();
        cluster.run(2);
        poll("run-000003", 200, phase);
        assertViolations(Rule.ORPHANED);
    }

    private void acceptJobAndDependent(int tasks) {
        accept(job(JOB, tasks));
        ObjectNode dependent = job(DEPENDENT, 1);
        dependent.putArray("waitsOn").add(JOB);
        accept(dependent);
    }

    @Test
    void jobThatCanNeverRunMustNotBeAccepted() {
        accept(SimulatedCluster.job(JOB, "red", "service", 17, 1, 1));
        assertViolations(Rule.ACCEPTED);
    }

    @Test
    void jobThatWaitsTooLongDespiteFreeMachinesBreaksARule() {
        accept(job(JOB, 1));
        cluster.run(100);
        assertViolations();
        invariants.failuresEnded();
        cluster.run(100);
        assertViolations(Rule.WAITS);
    }
}
