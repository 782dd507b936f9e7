package org.springmill.control.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.springmill.sim.SimulatedCluster;

/** Order in which jobs with dependencies start when capacity is short: eight tasks at a time. */
class DependencyPriorityTest {
    private static final String FIRST = "run-000001";
    private static final String RIVAL = "run-000002";
    private static final String LAST = "run-000003";
    private static final String OTHER_LAST = "run-000004";

    private final SimulatedCluster cluster = new SimulatedCluster();

    @AfterEach
    void noInvariantIsBroken() {
        assertEquals(List.of(), cluster.violations());
    }

    private static ObjectNode job(String id, String urgency, String... dependencies) {
        ObjectNode job = SimulatedCluster.job(id, "blue", "sweep", 8, 1, 1).put("urgency", urgency);
        for (String n : dependencies) {
            job.withArray("waitsOn").add(n);
        }
        return job;
    }

    private void startFullMachine() {
        cluster.machines("large", "a", 1).run(6);
        cluster.cloud().exhaustCapacity();
        // Occupies the machine first, so that later jobs wait and are placed in order of priority.
        cluster.submit(
                0,
                SimulatedCluster.job("run-000009", "blue", "sweep", 8, 1, 1).put("urgency", "prod"),
                8);
        cluster.run(1);
    }

    /**
     * A job inherits the priority of the jobs that depend on it, until these are cancelled. Of two
     * jobs of equal priority the earlier starts first.
     */
    @ParameterizedTest
    @CsvSource({
        // Priority of the rival, priority of the last job of its chain, event before placement
        // (cancellation of that last job, or a leader change), expected winner.
        "normal, best_effort, none,      first",
        "normal, urgent,      none,      rival",
        "normal, urgent,      cancelled, first",
        "normal, urgent,      takeover,  rival",
        "urgent, best_effort, none,      rival",
        "best_effort, prod,   takeover,  rival",
        "best_effort, prod,   cancelled, first",
    })
    void aJobInheritsThePriorityOfItsDependents(
            String own, String last, String event, String winner) {
        startFullMachine();
        cluster.submit(0, job(FIRST, "normal"), 5);
        cluster.submit(1, job(RIVAL, own), 5);
        cluster.submit(2, job(LAST, "best_effort", RIVAL), 5);
        cluster.submit(2, job(OTHER_LAST, last, LAST), 5);
        if (event.equals("cancelled")) {
            assertEquals("cancelled", cluster.cancel(0, OTHER_LAST));
        } else if (event.equals("takeover")) {
            cluster.restart(cluster.leader());
        }
        cluster.run(12);
        boolean rival = cluster.starts(RIVAL + "/0") > 0;
        boolean first = cluster.starts(FIRST + "/0") > 0;
        assertTrue(rival ^ first, "rival " + rival + ", first " + first);
        assertEquals(winner, rival ? "rival" : "first");
    }

    /**
     * Parameters: deadlines of the two last jobs (-1 for none), and the estimated run time of the
     * rival.
     */
    @ParameterizedTest
    @CsvSource({
        "200, 100, 10, none, rival",
        "100, 200, 10, none, first",
        "100, 120, 40, none, rival",
        "-1, 300, 10, none, rival",
        "200, 100, 10, takeover, rival"
    })
    void theChainWithLeastSlackStartsFirstWithinAPriority(
            double firstDue, double rivalDue, double rivalEstimate, String event, String winner) {
        startFullMachine();
        cluster.submit(0, job(FIRST, "normal"), 5);
        cluster.submit(1, job(RIVAL, "normal").put("expectS", rivalEstimate), 5);
        ObjectNode last = job(LAST, "normal", FIRST);
        cluster.submit(2, firstDue < 0 ? last : last.put("dueS", firstDue), 5);
        cluster.submit(2, job(OTHER_LAST, "normal", RIVAL).put("dueS", rivalDue), 5);
        if (event.equals("takeover")) {
            cluster.restart(cluster.leader());
        }
        cluster.run(12);
        assertEquals(winner, cluster.starts(RIVAL + "/0") > 0 ? "rival" : "first");
    }

    /**
     * A job with a deadline that is accepted later, against a single job or the first of a chain of
     * two, with the deadline of its last job or none.
     */
    @ParameterizedTest
    @CsvSource({
        "none, alone, 100, none,     rival",
        "200,  alone, 100, none,     rival",
        "100,  alone, 200, none,     first",
        "200,  chain, 100, none,     rival",
        "100,  chain, 200, none,     first",
        "none, alone, 100, takeover, rival",
        "200,  chain, 100, takeover, rival",
    })
    void aDeadlineCountsForAJobWithoutDependents(
            String firstDue, String shape, double rivalDue, String event, String winner) {
        startFullMachine();
        boolean chain = shape.equals("chain");
        ObjectNode first = job(FIRST, "normal");
        ObjectNode last = job(LAST, "normal", FIRST);
        if (!firstDue.equals("none")) {
            (chain ? last : first).put("dueS", Double.parseDouble(firstDue));
        }
        cluster.submit(0, first, 5);
        cluster.submit(1, job(RIVAL, "normal").put("dueS", rivalDue), 5);
        if (chain) {
            cluster.submit(2, last, 5);
        }
        if (event.equals("takeover")) {
            cluster.restart(cluster.leader());
        }
        cluster.run(12);
        boolean rivalRuns = cluster.starts(RIVAL + "/0") > 0;
        boolean firstRuns = cluster.starts(FIRST + "/0") > 0;
        assertTrue(rivalRuns ^ firstRuns, "rival " + rivalRuns + ", first " + firstRuns);
        assertEquals(winner, rivalRuns ? "rival" : "first");
    }
}
