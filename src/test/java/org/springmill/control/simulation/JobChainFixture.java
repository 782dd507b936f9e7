package org.springmill.control.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.stream.Collectors;
import org.junit.jupiter.api.BeforeEach;
import org.springmill.sim.SimulatedCluster;
import org.springmill.transport.HttpClient.Reply;
import org.springmill.transport.HttpClient.Request;

/**
 * A simulated cluster and helpers for jobs that depend on each other. Tests refer to jobs by
 * number. The cluster reports a violation if a task starts before the dependencies of its job are
 * done.
 */
abstract class JobChainFixture extends ClusterFixture {
    /**
     * The record of a job with two tasks, as a format string. Its arguments are the fields for the
     * job's end and time of acceptance, the job's id, and the field for its dependencies.
     */
    static final String JOB_RECORD =
            """
            {"v":1%s,"job":{"nameId":"%s","grist":"c","crew":"red","shape":"sweep","urgency":"normal","sacks":2,\
            "vcpus":1.0,"cards":1.0,"memGb":1.0,"mould":"img-1","pullGb":1.0,"samePlace":false,"apart":false,\
            "loaner":false,"expectS":10.0,"stashEveryS":0.0,"stashS":0.0%s}}""";

    private static final long DEFAULT_SEED = 1;

    @BeforeEach
    void startClusterWithDefaultSeed() {
        startCluster(DEFAULT_SEED);
    }

    static String id(int number) {
        return String.format("run-%06d", number);
    }

    /** An array of tasks with one CPU and one GPU each. */
    static ObjectNode job(int number, int tasks, int... dependencies) {
        ObjectNode job = SimulatedCluster.job(id(number), "red", "sweep", tasks, 1, 1);
        ArrayNode ids = job.putArray("waitsOn");
        for (int dependency : dependencies) {
            ids.add(id(dependency));
        }
        return job;
    }

    /** A service of tasks with one CPU and one GPU each. */
    static ObjectNode service(int number, int tasks, int... dependencies) {
        return job(number, tasks, dependencies).put("shape", "service");
    }

    /** Submits a job to a controller, which has to accept it. */
    final void submit(int controller, double runSeconds, ObjectNode job) {
        assertEquals(201, cluster.submit(controller, job, runSeconds), job.toString());
    }

    /** Asserts that every controller reports this phase for each of the jobs. */
    final void assertPhaseEverywhere(String phase, int... numbers) {
        for (int number : numbers) {
            for (int controller = 0; controller < CONTROLLERS; controller++) {
                assertEquals(
                        phase,
                        cluster.phase(controller, id(number)),
                        id(number) + " at " + controller);
            }
        }
    }

    final void killControllers() {
        for (int controller = 0; controller < CONTROLLERS; controller++) {
            cluster.kill(controller);
        }
    }

    final void restartControllers() {
        for (int controller = 0; controller < CONTROLLERS; controller++) {
            cluster.restart(controller);
        }
    }

    /** The number of job records that contain an end. */
    final long storedEnds() {
        return cluster.keyValueStore().keysUnder("job/").stream()
                .filter(key -> cluster.keyValueStore().value(key).has("end"))
                .count();
    }

    /**
     * The record of a job with two tasks.
     *
     * @param stateFields the fields for the job's end and time of acceptance, each preceded by a
     *     comma
     */
    static String jobRecord(int number, String stateFields, int... dependencies) {
        String quotedIds =
                Arrays.stream(dependencies)
                        .mapToObj(dependency -> '"' + id(dependency) + '"')
                        .collect(Collectors.joining(","));
        String dependencyField = quotedIds.isEmpty() ? "" : ",\"waitsOn\":[" + quotedIds + "]";
        return JOB_RECORD.formatted(stateFields, id(number), dependencyField);
    }

    /** Writes a record to the key-value store directly, without a controller. */
    final void store(String key, String value) {
        String commit =
                "{\"when\":[],\"writes\":[{\"write\":\"" + key + "\",\"value\":" + value + "}]}";
        cluster.network()
                .deliverAgain(
                        new Request(
                                "state:1",
                                "POST",
                                "/commit",
                                commit.getBytes(StandardCharsets.UTF_8),
                                1));
    }

    static String bodyOf(Reply reply) {
        return new String(reply.body(), StandardCharsets.UTF_8);
    }
}
