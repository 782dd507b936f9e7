package org.springmill.control.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.springmill.sim.SimNetwork.Delivery;
import org.springmill.sim.SimulatedCluster;
import org.springmill.sim.SubmissionRules;

/** Invalid, early and repeated requests of users while controllers restart. */
class CompoundUserRequestTest extends CompoundFailureFixture {
    /**
     * Any controller rejects invalid input immediately; a job that can never run is never accepted.
     */
    @Test
    void incompleteOrImpossibleSubmissionsAreRefusedByEveryController() {
        startCluster(1);
        for (int i = 0; i < SubmissionRules.REQUIRED_FIELDS.size(); i++) {
            String field = SubmissionRules.REQUIRED_FIELDS.get(i);
            for (String defect : new String[] {"absent", "null", "list"}) {
                ObjectNode job = SimulatedCluster.job(JOB, "red", "service", 2, 1, 1);
                switch (defect) {
                    case "absent" -> job.remove(field);
                    case "null" -> job.putNull(field);
                    default -> job.putArray(field).add(1);
                }
                assertEquals(400, cluster.submit(i % 3, job, 1), field + " " + defect);
            }
        }
        ObjectNode oversized = SimulatedCluster.job(JOB, "red", "sweep", 1, 1, 1);
        for (int i = 0; i < 900; i++) {
            oversized.withArray("frames").add("large").add("another type of machine " + i);
        }
        assertEquals(422, cluster.submit(0, oversized, 1), "larger than a record may be");
        for (int node = 0; node < 3; node++) {
            for (ObjectNode job : jobsThatCanNeverRun()) {
                assertEquals(422, cluster.submit(node, job, 1), job.toString());
            }
            assertEquals(404, cluster.ask(node, "GET", "/submissions/" + JOB, "").status());
            assertEquals(
                    404,
                    cluster.ask(node, "POST", "/submissions/" + JOB + "/withdraw", "").status());
            for (String body :
                    new String[] {
                        "", "[]", "{", "{} {}", "{\"a\":".repeat(5000), "\"run-000001\""
                    }) {
                assertEquals(400, cluster.ask(node, "POST", "/submissions", body).status());
            }
        }
    }

    private static List<ObjectNode> jobsThatCanNeverRun() {
        ObjectNode noZone = SimulatedCluster.job(JOB, "red", "sweep", 1, 1, 1).put("yard", "c");
        ObjectNode noType = SimulatedCluster.job(JOB, "red", "sweep", 1, 1, 1);
        noType.putArray("frames");
        ObjectNode otherType = SimulatedCluster.job(JOB, "red", "sweep", 1, 8, 0);
        otherType.putArray("frames").add("small").add("huge");
        return List.of(
                noZone,
                noType,
                otherType,
                SimulatedCluster.job(JOB, "green", "sweep", 1, 1, 1),
                SimulatedCluster.job(JOB, "red", "sweep", 1, 33, 0),
                SimulatedCluster.job(JOB, "red", "sweep", 1, 1, 9),
                SimulatedCluster.job(JOB, "red", "sweep", 1, 1, 1).put("memGb", 257),
                SimulatedCluster.job(JOB, "red", "service", 17, 1, 1),
                SimulatedCluster.job(JOB, "blue", "service", 65, 1, 1));
    }

    /**
     * Right after a restart, while the machine types are unknown, a valid submission gets status
     * 503.
     */
    @Test
    void submissionsGetNoFinalAnswerBeforeTheMachineTypesAreKnown() {
        startCluster(1);
        accept(SimulatedCluster.job(OTHER, "red", "sweep", 1, 1, 1), 300);
        cluster.run(2);
        cluster.network()
                .setDeliveryRule(
                        (from, request) ->
                                request.address().equals("cloud:1")
                                        ? Delivery.REFUSE
                                        : Delivery.DELIVER);
        for (int i = 0; i < 3; i++) {
            cluster.restart(i);
        }
        cluster.run(4);
        for (int node = 0; node < 3; node++) {
            assertEquals(503, cluster.ask(node, "GET", "/ready", "").status());
            assertEquals(
                    503,
                    cluster.submit(node, SimulatedCluster.job(JOB, "red", "sweep", 1, 1, 1), 1));
            assertEquals(
                    200,
                    cluster.submit(node, SimulatedCluster.job(OTHER, "red", "sweep", 1, 1, 1), 300),
                    "known already");
            ObjectNode incomplete = SimulatedCluster.job(JOB, "red", "sweep", 1, 1, 1);
            incomplete.remove("loaner");
            assertEquals(400, cluster.submit(node, incomplete, 1));
            for (ObjectNode job : jobsThatCanNeverRun()) {
                int status = cluster.submit(node, job, 1);
                assertTrue(status == 503 || status == 422, status + " for " + job);
            }
        }
        cluster.endFailures().run(6);
        for (ObjectNode job : jobsThatCanNeverRun()) {
            assertEquals(422, cluster.submit(0, job, 1));
        }
        assertEquals(201, cluster.submit(1, SimulatedCluster.job(JOB, "red", "sweep", 1, 1, 1), 1));
    }

    /**
     * Users repeat submissions, cancel jobs that are done and ask for jobs that were never
     * submitted while leaders change.
     */
    @Test
    void repeatedAndUnknownRequestsAreAnsweredAlikeAcrossLeaderChanges() {
        startCluster(1);
        ObjectNode done = SimulatedCluster.job(JOB, "red", "sweep", 1, 1, 1);
        accept(done, 2);
        ObjectNode runs = SimulatedCluster.job(OTHER, "red", "service", 2, 1, 1);
        accept(runs, FOREVER);
        cluster.run(8);
        for (int i = 0; i < 6; i++) {
            cluster.restart(Math.max(0, cluster.leader()));
            for (int node = 0; node < 3; node++) {
                cluster.submit(node, done, 2);
                cluster.submit(node, runs, FOREVER);
                cluster.cancel(node, JOB);
                cluster.phase(node, "run-999999");
                cluster.cancel(node, "run-999999");
            }
            cluster.run(2);
        }
        cluster.run(10);
        for (int node = 0; node < 3; node++) {
            assertEquals("done", cluster.cancel(node, JOB));
            assertEquals(200, cluster.submit(node, runs, FOREVER));
        }
    }
}
