package org.springmill.control.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;
import org.springmill.sim.SimulatedCluster;

/** A leader takes over job and round records written by any version of the service. */
class JobChainRecordGenerationsTest extends JobChainFixture {
    @Test
    void aLeaderTakesOverJobAndRoundRecordsOfBothGenerations() {
        killControllers();
        cluster.run(5);
        store(
                "job/" + id(1),
                JOB_RECORD.formatted(",\"end\":\"done\",\"at\":1000000900.0", id(1), ""));
        store("job/" + id(2), JOB_RECORD.formatted("", id(2), ""));
        store(
                "job/" + id(3),
                JOB_RECORD.formatted(
                        ",\"accepted\":1000000950.0", id(3), ",\"waitsOn\":[\"run-000001\"]"));
        store(
                "job/" + id(4),
                JOB_RECORD.formatted(
                        ",\"accepted\":1000000950.0",
                        id(4),
                        ",\"waitsOn\":[\"run-000001\",\"run-000002\"]"));
        store(
                "job/" + id(5),
                JOB_RECORD.formatted(",\"end\":\"cancelled\",\"at\":1000000960.0", id(5), ""));
        store(
                "job/" + id(6),
                JOB_RECORD.formatted(
                        ",\"accepted\":1000000950.0", id(6), ",\"waitsOn\":[\"run-000005\"]"));
        store(
                "round/000000000000007.00",
                "{\"v\":1,\"claims\":[[\"run-000001\",0,\"host-000001\",\"k1\"],"
                        + "[\"run-000002\",1,\"host-000009\",\"k2\"]],\"ended\":[],\"done\":[[\"run-000001\",\"0-1\"]]}");
        store(
                "round/000000000000008.00",
                "{\"v\":1,\"ended\":[\"k1\",\"k2\"],\"done\":[[\"run-000002\",\"1\"]]}");
        cluster.registerStoredJob(job(1, 2), 0, 1);
        cluster.registerStoredJob(job(2, 2), 1);
        cluster.registerStoredJob(job(3, 2, 1));
        cluster.registerStoredJob(job(4, 2, 1, 2));
        cluster.registerStoredJob(job(5, 2));
        cluster.registerStoredJob(job(6, 2, 5));
        restartControllers();
        cluster.run(30);
        assertPhaseEverywhere("done", 1, 2, 3, 4);
        assertEquals("cancelled", cluster.cancel(0, id(5)));
        assertPhaseEverywhere("cancelled", 5, 6);
        assertEquals(0, cluster.starts(id(2) + "/1"));
        // A job without dependencies is still written in the format that the previous version
        // reads.
        submit(0, 1, SimulatedCluster.job(id(8), "red", "sweep", 2, 1, 1));
        assertEquals(
                JOB_RECORD.formatted("", id(8), ""),
                cluster.keyValueStore().value("job/" + id(8)).toString());
    }
}
