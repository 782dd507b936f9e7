package org.springmill.control.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.springmill.sim.SimNetwork.Delivery;
import org.springmill.sim.SimulatedCluster;
import org.springmill.transport.HttpClient.Reply;

/** Response to a submission that depends on other jobs, and the dependencies that are stored. */
class DependencyValidationTest {
    private static final int VALUE_BYTES = 8192;
    private static final String NEVER_ACCEPTED = "run-000077";

    private final SimulatedCluster cluster =
            new SimulatedCluster().machines("large", "a", 1).run(6);

    @AfterEach
    void noInvariantIsBroken() {
        assertEquals(List.of(), cluster.violations());
    }

    private static String id(int number) {
        return String.format("run-%06d", number);
    }

    private static ObjectNode job(int number) {
        return SimulatedCluster.job(id(number), "red", "sweep", 1, 1, 1);
    }

    private Reply post(int node, ObjectNode job) {
        return cluster.ask(node, "POST", "/submissions", job.toString());
    }

    private static String text(Reply reply) {
        return new String(reply.body(), StandardCharsets.UTF_8);
    }

    private void refuseReadsOf(String node) {
        cluster.network()
                .setDeliveryRule(
                        (from, request) ->
                                from.equals(node) && request.path().startsWith("/changes")
                                        ? Delivery.REFUSE
                                        : Delivery.DELIVER);
    }

    @Test
    void anUnknownDependencyIsRefusedOnlyAfterAReadOfTheStateService() {
        ObjectNode job = job(9);
        job.putArray("waitsOn").add(NEVER_ACCEPTED);
        refuseReadsOf("n-1");
        assertEquals(503, post(1, job).status());
        cluster.network().setDeliveryRule((from, request) -> Delivery.DELIVER);
        cluster.run(1);
        Reply reply = post(1, job);
        assertEquals(422, reply.status());
        assertTrue(text(reply).contains(NEVER_ACCEPTED + ", which was never accepted"));
        assertFalse(cluster.keyValueStore().keysUnder("job/").contains("job/" + id(9)));
    }

    @Test
    void aServiceAsDependencyIsRefusedByEveryControllerAlsoOnceItIsCancelled() {
        assertEquals(201, post(0, job(1).put("shape", "service")).status());
        ObjectNode job = job(9);
        job.putArray("waitsOn").add(id(1));
        for (int node = 0; node < 3; node++) {
            Reply reply = post(node, job);
            assertEquals(422, reply.status());
            assertTrue(text(reply).contains(id(1) + ", a service, which is never done"));
        }
        assertEquals("cancelled", cluster.cancel(2, id(1)));
        assertEquals(422, post(1, job).status());
    }

    /** A malformed list of dependencies is rejected without a read, so also during an outage. */
    @ParameterizedTest
    @ValueSource(strings = {"true", "7", "\"run-000001\"", "[[]]", "[\"run-000009\"]"})
    void malformedDependenciesAreRefusedWithoutTheStateService(String names) {
        refuseReadsOf("n-1");
        String body = job(9).toString();
        body = body.substring(0, body.length() - 1) + ",\"waitsOn\":" + names + "}";
        Reply reply = cluster.ask(1, "POST", "/submissions", body);
        assertEquals(400, reply.status());
        assertTrue(text(reply).contains("waitsOn"), text(reply));
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "absent                                    | ''",
                "null                                      | ''",
                "[]                                        | ''",
                "[~run-000002~,~run-000001~]               | [~run-000002~,~run-000001~]",
                "[~run-000002~,~run-000001~,~run-000002~]  | [~run-000002~,~run-000001~]",
            })
    void eachDependencyIsStoredOnceAndNoFieldWithoutDependencies(String names, String stored) {
        assertEquals(201, post(0, job(1)).status());
        assertEquals(201, post(0, job(2)).status());
        String body = job(9).toString();
        if (!names.equals("absent")) {
            String list = names.replace('~', '"');
            body = body.substring(0, body.length() - 1) + ",\"waitsOn\":" + list + "}";
        }
        assertEquals(201, cluster.ask(1, "POST", "/submissions", body).status());
        JsonNode record = cluster.keyValueStore().value("job/" + id(9)).path("job");
        assertEquals(stored.replace('~', '"'), record.path("waitsOn").toString());
    }

    /**
     * The refusal states the size and the limit. A job with the longest accepted list can still be
     * cancelled, which adds its end to the record.
     */
    @Test
    void theLongestAcceptedListLeavesRoomForTheEndOfTheJob() {
        ObjectNode job = job(9);
        // Until the list is too long, the response names the unknown job that was added last.
        Reply reply = addUnknownName(job, 0);
        int accepted = 0;
        while (text(reply).contains("never accepted")) {
            assertEquals(201, post(0, job(0).put("nameId", longId(accepted))).status());
            accepted++;
            reply = addUnknownName(job, accepted);
        }
        assertTrue(text(reply).contains(" bytes to store, more than " + VALUE_BYTES + ":"));
        assertTrue(accepted > 300, accepted + " names");
        job.withArray("waitsOn").remove(accepted);
        assertEquals(201, post(0, job).status());
        assertEquals("cancelled", cluster.cancel(1, id(9)));
        int bytes = cluster.keyValueStore().value("job/" + id(9)).toString().length();
        assertTrue(bytes <= VALUE_BYTES && bytes > VALUE_BYTES - 64, bytes + " bytes");
    }

    private Reply addUnknownName(ObjectNode job, int number) {
        job.withArray("waitsOn").add(longId(number));
        Reply reply = post(0, job);
        assertEquals(422, reply.status());
        return reply;
    }

    private static String longId(int number) {
        return String.format("run-%018d", number);
    }
}
