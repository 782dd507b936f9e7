package org.springmill.control.scheduling;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.springmill.control.cluster.Job;
import org.springmill.control.cluster.TaskAttempt;
import org.springmill.control.storage.Claim;
import org.springmill.protocol.Json;
import org.springmill.protocol.MalformedMessageException;
import org.springmill.protocol.Submission;
import org.springmill.protocol.TaskId;
import org.springmill.protocol.WorkerMessages.ExitCause;

/** Checks which ends of attempts are committed immediately and which may wait for a later round. */
class CompletionBatchingTest {
    private static final double ROUND_INTERVAL_SECONDS = 0.25;
    private static final double NOW = 100;

    private static Job job(int tasks) throws MalformedMessageException {
        String body =
                """
                {"nameId":"run-000001","grist":"batch","crew":"red","shape":"sweep","urgency":"normal",
                 "sacks":%d,"vcpus":1.0,"cards":0.0,"memGb":1.0,"mould":"image","pullGb":1.0,
                 "samePlace":false,"apart":false,"loaner":true,"expectS":10.0,"stashEveryS":0.0,"stashS":0.0}
                """
                        .formatted(tasks);
        return new Job(Submission.parse(Json.object(body.getBytes(StandardCharsets.UTF_8))), 1);
    }

    private static TaskAttempt ended(Job job, int task, ExitCause cause, double at) {
        Claim claim = Claim.decide(new TaskId(job.id(), task), "host-000001", 1);
        TaskAttempt attempt = new TaskAttempt(claim, job, null, at);
        attempt.transition(TaskAttempt.State.CLAIMED, at);
        attempt.end(cause, at);
        return attempt;
    }

    @ParameterizedTest(name = "{0}")
    @CsvSource({
        "one of many tasks is done and nothing waits, 5, 1, DONE, 0.0, false, false, 1.0",
        "the wait counts from the first end,          5, 2, DONE, 0.6, false, false, 0.4",
        "the wait is over,                            5, 2, DONE, 1.0, false, false, 0.0",
        "the last task of its job is done,            2, 2, DONE, 0.0, false, false, 0.0",
        "a task has to run again,                     5, 1, STOPPED, 0.0, false, false, 0.0",
        "a task of a cancelled job has ended,         5, 1, STOPPED, 0.0, true, false, 1.0",
        "a task waits to be placed,                   5, 1, DONE, 0.0, false, true, 0.0",
    })
    void endsAreBatchedOnlyWhileNothingDependsOnThem(
            String description,
            int tasks,
            int endedTasks,
            ExitCause cause,
            double secondsAgo,
            boolean cancelled,
            boolean hasWaitingTasks,
            double expectedSeconds)
            throws MalformedMessageException {
        Job job = job(tasks);
        if (cancelled) {
            job.end(2, NOW);
        }
        List<TaskAttempt> ended = new ArrayList<>();
        for (int task = 0; task < endedTasks; task++) {
            ended.add(ended(job, task, cause, NOW - secondsAgo));
        }
        CompletionBatching batching = new CompletionBatching(ROUND_INTERVAL_SECONDS);
        assertEquals(
                expectedSeconds,
                batching.postponeSeconds(ended, hasWaitingTasks, NOW),
                1e-9,
                description);
    }
}
