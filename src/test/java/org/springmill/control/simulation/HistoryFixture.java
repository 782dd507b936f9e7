package org.springmill.control.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.OptionalDouble;
import org.junit.jupiter.api.BeforeEach;
import org.springmill.sim.SimNetwork.Delivery;
import org.springmill.sim.SimulatedCluster;
import org.springmill.transport.HttpClient.Request;

/**
 * The simulated cluster with the bounded history enabled at every controller. Jobs are identified
 * by numbers.
 */
abstract class HistoryFixture extends JobChainFixture {
    static final double RETENTION_SECONDS = 30;

    /**
     * The retention time and a margin, in which records are moved and all controllers read the
     * change.
     */
    static final double UNTIL_MOVED_SECONDS = RETENTION_SECONDS + 12;

    private static final double RUN_SECONDS = 2;

    /**
     * Includes the boot of a machine, since the initial machines may have been returned as idle.
     */
    private static final double UNTIL_DONE_SECONDS = 60;

    @BeforeEach
    @Override
    void startClusterWithDefaultSeed() {
        startCluster(new SimulatedCluster(1, OptionalDouble.of(RETENTION_SECONDS)));
        cluster.run(20);
    }

    /** Submits a job of one task and waits until its record says that it is done. */
    final void runToEnd(int number) {
        submit(follower(), RUN_SECONDS, job(number, 1));
        runUntilDone(number);
        assertEquals(
                "done", cluster.keyValueStore().value("job/" + id(number)).path("end").asText());
    }

    /** Waits until a job's record says that it is done, at most {@link #UNTIL_DONE_SECONDS}. */
    final void runUntilDone(int number) {
        for (int i = 0; i < UNTIL_DONE_SECONDS && !isDone(number); i++) {
            cluster.run(1);
        }
    }

    private boolean isDone(int number) {
        var record = cluster.keyValueStore().value("job/" + id(number));
        return record != null && record.path("end").asText().equals("done");
    }

    /** Runs a job to its end and waits until its record was moved. */
    final void runAndMove(int number) {
        runToEnd(number);
        waitUntilMoved(number);
    }

    /** Submits a job, cancels it and waits until its record was moved. */
    final void cancelAndMove(ObjectNode job, int number) {
        submit(follower(), FOREVER, job);
        assertEquals("cancelled", cluster.cancel(follower(), id(number)));
        waitUntilMoved(number);
    }

    final void waitUntilMoved(int number) {
        cluster.run(UNTIL_MOVED_SECONDS);
        assertMoved(number);
    }

    final void assertMoved(int number) {
        assertFalse(isStored("job/" + id(number)), "record of " + id(number));
        assertTrue(isStored("ended/" + id(number)), "final state of " + id(number));
    }

    final void assertNotMoved(int number) {
        assertTrue(isStored("job/" + id(number)), "record of " + id(number));
        assertFalse(isStored("ended/" + id(number)), "final state of " + id(number));
    }

    final boolean isStored(String key) {
        return cluster.keyValueStore().value(key) != null;
    }

    /** Every controller answers a repeated submission of an ended job with its final state. */
    final void assertResubmissionAnswered(String phase, ObjectNode job) {
        for (int controller = 0; controller < CONTROLLERS; controller++) {
            var reply = cluster.ask(controller, "POST", "/submissions", job.toString());
            assertEquals(200, reply.status(), "at " + controller);
            assertTrue(bodyOf(reply).contains('"' + phase + '"'), bodyOf(reply));
        }
    }

    /** Reads a gauge of a controller. */
    final double gauge(int controller, String name) {
        cluster.run(1.1);
        String text = bodyOf(cluster.ask(controller, "GET", "/metrics", ""));
        return text.lines()
                .filter(line -> line.startsWith("springmill_" + name + " "))
                .mapToDouble(line -> Double.parseDouble(line.substring(line.indexOf(' ') + 1)))
                .findFirst()
                .orElseThrow();
    }

    static boolean isMove(Request request) {
        return MessageMatchers.isCommit(request)
                && MessageMatchers.text(request).contains("\"write\":\"ended/");
    }

    static boolean isLookup(Request request) {
        return request.path().startsWith("/store/ended/");
    }

    /** Drops a controller's watches and barriers on the job records; delivers everything else. */
    final void dropJobChangesFor(int controller) {
        cluster.network()
                .setDeliveryRule(
                        (from, request) ->
                                MessageMatchers.fromController(from, controller)
                                                && request.path().startsWith("/changes?under=job/")
                                        ? Delivery.DROP
                                        : Delivery.DELIVER);
    }

    /** What happens to moves from now on; everything else is delivered. */
    final void setFateOfMoves(Delivery fate) {
        cluster.network()
                .setDeliveryRule((from, request) -> isMove(request) ? fate : Delivery.DELIVER);
    }
}
