package org.springmill.control.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.springmill.sim.SimulatedCluster;

/** Responses to users and to clients that scrape metrics. */
class UserRequestTest extends SingleFailureFixture {
    @ParameterizedTest
    @ValueSource(ints = {0, 1, 2})
    void jobSubmittedToAnyControllerRunsOnceAndIsDoneEverywhere(int controller) {
        assertEquals(
                201,
                cluster.submit(controller, SimulatedCluster.job(JOB, "red", "sweep", 3, 1, 1), 5));
        assertEquals(
                200,
                cluster.submit(controller, SimulatedCluster.job(JOB, "red", "sweep", 3, 1, 1), 5));
        cluster.run(12);
        for (int i = 0; i < 3; i++) {
            assertEquals("done", cluster.phase(i, JOB));
            assertEquals(1, cluster.starts(JOB + "/" + i));
        }
        // A retry may come at any time, also after the job is done.
        assertEquals(
                200,
                cluster.submit(follower(), SimulatedCluster.job(JOB, "red", "sweep", 3, 1, 1), 5));
    }

    @Test
    void metricsCountStartsAcceptancesAndLeadership() {
        cluster.submit(cluster.leader(), SimulatedCluster.job(JOB, "red", "sweep", 3, 1, 1), 2);
        cluster.run(10);
        String text =
                new String(
                        cluster.ask(cluster.leader(), "GET", "/metrics", "").body(),
                        StandardCharsets.UTF_8);
        assertTrue(text.contains("springmill_start_seconds_count 3"), text);
        assertTrue(text.contains("springmill_acceptance_seconds_count 1"), text);
        assertTrue(text.contains("springmill_leading 1"), text);
        assertEquals(429, cluster.ask(cluster.leader(), "GET", "/metrics", "").status());
    }

    /** Mostly requests that a controller does not serve. */
    @ParameterizedTest
    @CsvSource({
        "GET, /submissions, 405",
        "POST, /submissions/run-000001, 405",
        "GET, /submissions/run-000001/withdraw, 405",
        "GET, /submissions/run-000009, 404",
        "POST, /submissions/run-000009/withdraw, 404",
        "GET, /submissions/x/y, 404",
        "GET, /submissions/, 404",
        "GET, /nowhere, 404",
        "PUT, /ready, 405",
        "GET, /v1/report, 405",
        "POST, /v1/report, 400",
        "POST, /submissions, 400",
        "GET, /ready, 200",
    })
    void requestGetsTheStatusOfItsMethodAndPathFromEveryController(
            String method, String path, int status) {
        for (int controller = 0; controller < 3; controller++) {
            assertEquals(status, cluster.ask(controller, method, path, "").status());
        }
    }

    @ParameterizedTest
    @CsvSource({
        "green, 1, 1, 1, 422",
        "red, 1, 1, 99, 422",
        "red, 3, 1, 8, 422",
        "red, 2, 1, 8, 201",
        "blue, 1, 99, 0, 422"
    })
    void jobThatCanNeverRunIsRefusedOnSubmission(
            String team, int tasks, double cpus, double gpus, int status) {
        assertEquals(
                status,
                cluster.submit(
                        0, SimulatedCluster.job(JOB, team, "service", tasks, cpus, gpus), 1));
    }
}
