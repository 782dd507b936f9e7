package org.springmill.control.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.springmill.control.simulation.MessageMatchers.fromController;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.springmill.sim.SimNetwork.Delivery;
import org.springmill.sim.SimulatedCluster;
import org.springmill.transport.HttpClient.Reply;

/** Which dependencies a submission may name, and how each is answered. */
class JobChainSubmissionTest extends JobChainFixture {
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            quoteCharacter = '`',
            value = {
                "null                             | 201 | queued",
                "[]                               | 201 | queued",
                "[~run-000001~]                   | 201 | queued",
                "[~run-000001~,~run-000001~]      | 201 | queued",
                "~run-000001~                     | 400 | waitsOn is not a list",
                "{}                               | 400 | waitsOn is not a list",
                "[1]                              | 400 | waitsOn holds something that is no job's id",
                "[null]                           | 400 | waitsOn holds something that is no job's id",
                "[~job-7~]                        | 400 | waitsOn holds something that is no job's id",
                "[~run-000009~]                   | 400 | waitsOn names the job itself",
                "[~run-000001~,~run-000007~]      | 422 | run-000007, which was never accepted",
                "[~run-000002~]                   | 422 | run-000002, a service",
            },
            ignoreLeadingAndTrailingWhitespace = true)
    void aSubmissionIsAcceptedOrRefusedByTheDependenciesItNames(
            String names, int status, String expectedText) {
        submit(0, 1e9, job(1, 1));
        submit(0, 1e9, service(2, 1));
        String body = SimulatedCluster.job(id(9), "red", "sweep", 1, 1, 1).toString();
        body =
                body.substring(0, body.length() - 1)
                        + ",\"waitsOn\":"
                        + names.replace('~', '"')
                        + "}";
        Reply reply = cluster.ask(1, "POST", "/submissions", body);
        String responseText = bodyOf(reply);
        assertEquals(status, reply.status(), responseText);
        assertTrue(responseText.contains(expectedText), responseText);
    }

    @Test
    void aDependencyListTooLargeToStoreIsRefusedWithItsSize() {
        ObjectNode job = job(9, 1);
        for (int i = 0; i < 1000; i++) {
            job.withArray("waitsOn").add(id(100 + i));
        }
        Reply reply = cluster.ask(1, "POST", "/submissions", job.toString());
        assertEquals(422, reply.status());
        String responseText = bodyOf(reply);
        assertTrue(responseText.contains("bytes to store, more than"), responseText);
    }

    /**
     * Another controller may just have accepted the dependency; only a read of the key-value store
     * shows whether it did.
     */
    @Test
    void anUnknownDependencyGetsNoFinalAnswerWithoutAReadOfTheStateService() {
        cluster.network()
                .setDeliveryRule(
                        (from, request) ->
                                fromController(from, 1)
                                                && request.path().startsWith("/changes?under=job")
                                                && !request.path().endsWith("waitMs=0")
                                        ? Delivery.DROP
                                        : Delivery.DELIVER);
        cluster.run(20);
        submit(0, 30, job(1, 1));
        submit(1, 1, job(2, 1, 1));
        submit(0, 30, job(3, 1));
        cluster.network()
                .setDeliveryRule(
                        (from, request) ->
                                fromController(from, 1) && request.path().startsWith("/changes")
                                        ? Delivery.REFUSE
                                        : Delivery.DELIVER);
        assertEquals(503, cluster.submit(1, job(4, 1, 3), 1));
        // Controller 0 accepted this job, but controller 1 cannot find that out either.
        assertEquals(503, cluster.submit(1, job(3, 1), 1));
        deliverAllMessages();
        cluster.run(1);
        assertEquals(201, cluster.submit(1, job(4, 1, 3), 1));
        assertEquals(200, cluster.submit(1, job(3, 1), 30));
    }

    @Test
    void aDependencyNamedTwiceIsStoredOnce() {
        submit(0, 3, job(1, 1));
        submit(1, 3, job(2, 1, 1, 1));
        assertEquals(
                "[\"run-000001\"]",
                cluster.keyValueStore()
                        .value("job/" + id(2))
                        .path("job")
                        .path("waitsOn")
                        .toString());
        cluster.run(15);
        assertPhaseEverywhere("done", 1, 2);
    }

    /** The dependency belongs to another team and is in any of its phases at the submission. */
    @ParameterizedTest
    @CsvSource({
        "queued, done",
        "running, done",
        "done, done",
        "cancelled, cancelled",
    })
    void aDependencyMayBeInAnyStateAndOfAnotherTeam(String state, String end) {
        submit(0, 8, job(1, 2).put("crew", "blue"));
        if (!state.equals("queued")) {
            cluster.run(state.equals("done") ? 15 : 5);
        }
        if (state.equals("cancelled")) {
            cluster.cancel(1, id(1));
        }
        assertPhaseEverywhere(state, 1);
        submit(2, 1, job(2, 1, 1));
        cluster.run(20);
        assertPhaseEverywhere(end, 2);
        assertEquals(end.equals("done") ? 1 : 0, cluster.starts(id(2) + "/0"));
    }

    /**
     * The last job of a pipeline is submitted to a leader that knows the other jobs from their
     * records only, and is then taken over by another such leader.
     */
    @Test
    void aJobSubmittedAfterItsDependenciesAreDoneRunsDespiteLeaderChanges() {
        submit(0, 2, job(1, 2));
        submit(1, 2, job(2, 2, 1));
        cluster.run(15);
        assertPhaseEverywhere("done", 1, 2);
        cluster.restart(cluster.leader());
        cluster.run(5);
        submit(follower(), 2, job(3, 2, 1, 2));
        cluster.restart(cluster.leader());
        cluster.run(15);
        assertPhaseEverywhere("done", 3);
        assertEquals(1, cluster.starts(id(3) + "/0"));
    }
}
