package org.springmill.control.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.springmill.control.simulation.MessageMatchers.fromController;
import static org.springmill.control.simulation.MessageMatchers.isCommit;
import static org.springmill.control.simulation.MessageMatchers.text;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.springmill.sim.SimNetwork.Delivery;

/** Job chains continue under new leaders, and no task is started twice. */
class JobChainFailoverTest extends JobChainFixture {
    /**
     * The leader crashes during a commit: that of the end of the dependency or that of the first
     * claims of the dependent.
     */
    @ParameterizedTest
    @CsvSource({
        "DROP, end",
        "LOSE_RESPONSE, end",
        "HOLD, end",
        "DROP, claim",
        "LOSE_RESPONSE, claim",
        "HOLD, claim"
    })
    void dependentsStartOnceWhenTheLeaderCrashesBetweenTwoJobs(Delivery fate, String what) {
        submit(follower(), 3, job(1, 2));
        submit(follower(), 3, job(2, 2, 1));
        int leader = cluster.leader();
        cluster.network()
                .setDeliveryRule(
                        (from, request) -> {
                            String body = text(request);
                            boolean hit =
                                    fromController(from, leader)
                                            && isCommit(request)
                                            && (what.equals("end")
                                                    ? body.contains("\"end\":\"done\"")
                                                    : body.contains("\"claims\":[[\"" + id(2)));
                            if (hit) {
                                cluster.clock().after(0.003, () -> cluster.kill(leader));
                            }
                            return hit ? fate : Delivery.DELIVER;
                        });
        cluster.run(12);
        cluster.network().releaseHeld();
        cluster.run(30);
        cluster.restart(leader);
        cluster.run(5);
        assertPhaseEverywhere("done", 1, 2);
        for (int i = 0; i < 2; i++) {
            assertEquals(1, cluster.starts(id(2) + "/" + i));
        }
    }

    /**
     * Controllers are restarted one after the other, while the network drops, refuses or delays
     * some of their messages and loses some responses.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void allJobsOfABurstOfPipelinesEndDuringARollingRestart(long seed) {
        startCluster(seed);
        SplittableRandom random = new SplittableRandom(seed);
        cluster.network()
                .setDeliveryRule(
                        (from, request) ->
                                !from.startsWith("n-") || random.nextInt(100) > 5
                                        ? Delivery.DELIVER
                                        : List.of(Delivery.values())
                                                .get(random.nextInt(Delivery.values().length)));
        cluster.startPolling();
        for (int i = 0; i < 8; i++) {
            int first = 10 * i + 1;
            submitUntilAccepted(job(first, 3), random);
            submitUntilAccepted(job(first + 1, 8, first), random);
            submitUntilAccepted(job(first + 2, 4, first), random);
            submitUntilAccepted(job(first + 3, 2, first + 1, first + 2), random);
            if (random.nextInt(3) == 0) {
                cluster.cancel(random.nextInt(3), id(first + random.nextInt(4)));
            }
            cluster.restart(i % 3);
            cluster.run(2 + random.nextInt(4));
        }
        cluster.network().releaseHeld();
        cluster.run(10);
        cluster.endFailures().run(150);
        for (int i = 0; i < 8; i++) {
            for (int step = 1; step <= 4; step++) {
                String phase = cluster.phase(0, id(10 * i + step));
                assertTrue(
                        phase.equals("done") || phase.equals("cancelled"),
                        id(10 * i + step) + " is " + phase);
            }
        }
    }

    /** Retries the submission until it is accepted, as a user would, at most 30 times. */
    private void submitUntilAccepted(ObjectNode job, SplittableRandom random) {
        int status = 0;
        for (int i = 0; i < 30 && status != 201 && status != 200; i++) {
            status = cluster.submit(random.nextInt(3), job, 1 + random.nextInt(5));
            cluster.run(status == 201 || status == 200 ? 0 : 1);
        }
        assertTrue(status == 201 || status == 200, job + ": " + status);
    }

    /** The new leader reads claims that three earlier leaders committed, each in its own term. */
    @Test
    void chainsContinueWhenALeaderTakesOverClaimsOfThreeTerms() {
        submit(0, 12, job(1, 1));
        submit(1, 12, job(2, 1, 1));
        submit(2, 2, job(3, 1, 2));
        for (int term = 0; term < 3; term++) {
            submit(term, 1e9, service(10 + term, 2).put("crew", "blue"));
            cluster.run(4);
            cluster.restart(cluster.leader());
            cluster.run(4);
        }
        assertEquals(
                3,
                cluster.keyValueStore().keysUnder("round/").stream()
                        .filter(this::claimsServiceTasks)
                        .count());
        killControllers();
        cluster.run(2);
        restartControllers();
        cluster.run(25);
        assertPhaseEverywhere("done", 1, 2, 3);
        for (int term = 0; term < 3; term++) {
            assertEquals(2, cluster.running(id(10 + term)));
            assertEquals(1, cluster.starts(id(10 + term) + "/0"));
            assertEquals(1, cluster.starts(id(10 + term) + "/1"));
        }
    }

    /** Whether a round claims tasks of one of the services. */
    private boolean claimsServiceTasks(String round) {
        return cluster.keyValueStore().value(round).path("claims").toString().contains("run-00001");
    }
}
