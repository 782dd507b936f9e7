package org.springmill.control.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.springmill.protocol.Json;
import org.springmill.protocol.Settings;
import org.springmill.sim.SimNetwork.Delivery;
import org.springmill.sim.SimOptions;
import org.springmill.sim.SimulatedCluster;
import org.springmill.transport.HttpClient.Request;

/** Derived cancellations are written even if the key-value store rejects some of them. */
class CancellationPersisterTest {
    private static final int FIRST = 1;
    private static final int LAST = 9;

    /** With this many dependencies of the longest ids, a record nearly reaches the value limit. */
    private static final int MANY_DEPENDENCIES = 180;

    private SimulatedCluster cluster;

    @BeforeEach
    void startClusterWithLeader() {
        cluster = new SimulatedCluster().machines("large", "a", 1).run(6);
    }

    @AfterEach
    void checkInvariants() {
        assertEquals(List.of(), cluster.violations());
    }

    private static String id(int number) {
        return String.format("run-%06d", number);
    }

    private static ObjectNode job(int number, int... dependencies) {
        ObjectNode job = SimulatedCluster.job(id(number), "red", "sweep", 1, 1, 1);
        ArrayNode ids = job.putArray("waitsOn");
        for (int dependency : dependencies) {
            ids.add(id(dependency));
        }
        return job;
    }

    private void submit(ObjectNode job) {
        assertEquals(201, cluster.submit(cluster.leader(), job, 1e9), job.toString());
    }

    private void submitFirstAndDependents() {
        submit(job(FIRST));
        for (int number = FIRST + 1; number <= LAST; number++) {
            submit(job(number, FIRST));
        }
    }

    private JsonNode record(int number) {
        return cluster.keyValueStore().value("job/" + id(number));
    }

    private List<Integer> unwritten() {
        return IntStream.rangeClosed(FIRST, LAST)
                .filter(number -> !record(number).has("end"))
                .boxed()
                .toList();
    }

    /** Writes a new version of a record, of which the leader is not informed. */
    private void writeUnseenVersion(int number) {
        ObjectNode write = Json.newObject().put("write", "job/" + id(number));
        write.set("value", record(number));
        ObjectNode commit = Json.newObject();
        commit.putArray("when");
        commit.putArray("writes").add(write);
        byte[] body = commit.toString().getBytes(StandardCharsets.UTF_8);
        cluster.network().deliverAgain(new Request("state:1", "POST", "/commit", body, 1));
    }

    private void blockJobWatchOfLeader() {
        String leader = "n-" + cluster.leader();
        cluster.network()
                .setDeliveryRule(
                        (from, request) ->
                                from.equals(leader)
                                                && request.path().startsWith("/changes?under=job")
                                        ? Delivery.DROP
                                        : Delivery.DELIVER);
        // Longer than a watch request stays open.
        cluster.run(20);
    }

    @Test
    void onlyTheRejectedRecordStaysUnwritten() {
        submitFirstAndDependents();
        blockJobWatchOfLeader();
        writeUnseenVersion(4);
        assertEquals("cancelled", cluster.cancel(cluster.leader(), id(FIRST)));
        cluster.run(20);
        assertEquals(List.of(4), unwritten());
    }

    @Test
    void aRejectedRecordIsWrittenOnceItsNewVersionIsKnown() {
        submitFirstAndDependents();
        blockJobWatchOfLeader();
        writeUnseenVersion(4);
        assertEquals("cancelled", cluster.cancel(cluster.leader(), id(FIRST)));
        cluster.run(10);
        cluster.network().setDeliveryRule((from, request) -> Delivery.DELIVER);
        cluster.run(20);
        assertEquals(List.of(), unwritten());
    }

    /**
     * Guards against 422 for jobs that can run: a batch of long records made a transaction above 64
     * KiB, and the leader took its refusal for a lower limit on values.
     */
    @Test
    void longRecordsAreWrittenInTransactionsOfTheAllowedSize() {
        cluster =
                new SimulatedCluster(
                        SimOptions.DEFAULTS.withStoreLimits(
                                new Settings.StoreLimits(150, 60, 8192, 16)));
        cluster.keyValueStore().setSizeLimits(8192, 16);
        cluster.machines("large", "a", 1).run(6);
        submit(job(FIRST));
        for (int number = FIRST + 1; number <= LAST; number++) {
            submit(withLongRecord(job(number, FIRST)));
        }
        cluster.run(3);
        assertEquals("cancelled", cluster.cancel(cluster.leader(), id(FIRST)));
        cluster.run(30);
        assertEquals(List.of(), unwritten());
        assertEquals(0, cluster.keyValueStore().oversizedCommits());
        submit(withLongRecord(job(LAST + 1)));
    }

    /** A record of almost 8 KiB, with names of machine types that the cloud does not offer. */
    private static ObjectNode withLongRecord(ObjectNode job) {
        job.put("mould", "img-" + "x".repeat(60));
        ArrayNode types = job.putArray("frames").add("large");
        for (int type = 10; type < 48; type++) {
            types.add("type-" + type + "x".repeat(193));
        }
        return job;
    }

    /**
     * The record was accepted under a larger value limit. Its dependencies cannot be omitted to
     * shorten it.
     */
    @Test
    void anOversizedRecordIsAbandonedAndBlocksNoOthers() {
        submit(job(FIRST));
        ObjectNode large = job(2, FIRST);
        for (int number = 0; number < MANY_DEPENDENCIES; number++) {
            String longId = String.format("run-%018d", number);
            submit(job(0).put("nameId", longId));
            large.withArray("waitsOn").add(longId);
        }
        submit(large);
        for (int number = 3; number <= LAST; number++) {
            submit(job(number, FIRST));
        }
        cluster.run(3);
        cluster.keyValueStore().setSizeLimits(1024, 12);
        assertEquals("cancelled", cluster.cancel(cluster.leader(), id(FIRST)));
        cluster.run(60);
        assertEquals(List.of(2), unwritten());
        int oversizedCommits = cluster.keyValueStore().oversizedCommits();
        assertTrue(oversizedCommits > 0);
        cluster.run(60);
        assertEquals(oversizedCommits, cluster.keyValueStore().oversizedCommits());
        assertEquals("cancelled", cluster.phase(cluster.leader(), id(2)));
    }
}
