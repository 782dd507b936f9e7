package org.springmill.control.coordination;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.springmill.sim.SimNetwork.Fate;
import org.springmill.sim.World;

/** The service at the size to which its deployments have grown: bounds on counted work, never on time. */
class GrowthTest {
    private static final int MACHINES = 200;
    private static final int JOBS = 120;
    private static final int REPLICAS = 8;

    private final Map<String, Integer> counted = new HashMap<>();

    private int count(String path) {
        return counted.getOrDefault(path, 0);
    }

    @Test
    void workFollowsWhatChangesAndNotTheSizeOfTheFleet() {
        World world = new World().machines("large", "a", MACHINES / 2).machines("large", "b", MACHINES / 2).run(6);
        world.cloud().runOut();
        world.network().judge((from, request) -> {
            counted.merge(request.path(), 1, Integer::sum);
            return Fate.DELIVER;
        });
        // Idle machines would go back: the first jobs take a place on every machine.
        for (int i = 0; i < JOBS; i++) {
            var job = World.job(String.format("run-%06d", i), "blue", "service", REPLICAS, 4, 0);
            assertEquals(201, world.submit(i % 3, job, Double.POSITIVE_INFINITY));
        }
        world.run(20);
        assertEquals(JOBS * REPLICAS, running(world));
        int rounds = world.state().keysUnder("round/").size();
        assertTrue(rounds <= 2 * JOBS, rounds + " keys of rounds for " + JOBS + " jobs");

        // Nothing happens: no orders, and hardly a write.
        counted.clear();
        world.run(20);
        assertTrue(count("/orders") <= MACHINES / 20, count("/orders") + " orders while nothing happens");
        assertTrue(count("/commit") <= 4, count("/commit") + " commits while nothing happens");
        assertTrue(count("/rentals/delete") <= 4, count("/rentals/delete") + " deletions, though machines go by the dozen");

        // One array: commits by the round, one order for each machine that it touches, and its ends.
        counted.clear();
        world.submit(0, World.job("run-900000", "blue", "sweep", 100, 1, 0), 5);
        world.run(20);
        assertEquals("done", world.phase(1, "run-900000"));
        assertTrue(count("/commit") <= 20, count("/commit") + " commits for one array");
        assertTrue(count("/orders") <= 5 * 100, count("/orders") + " orders for one array of 100 tasks");

        // A takeover asks every machine about once, and starts nothing again.
        counted.clear();
        world.kill(world.leader());
        world.run(20);
        assertEquals(JOBS * REPLICAS, running(world));
        int machines = world.cloud().machines().size();
        assertTrue(count("/orders") <= 4 * machines, count("/orders") + " orders at a takeover of " + machines);
        assertTrue(count("/commit") <= 10, count("/commit") + " commits at a takeover");
        for (int i = 0; i < JOBS; i++) {
            assertEquals(1, world.starts(String.format("run-%06d/0", i)));
        }
        assertEquals(List.of(), world.broken());
    }

    private static int running(World world) {
        int running = 0;
        for (int i = 0; i < JOBS; i++) {
            running += world.running(String.format("run-%06d", i));
        }
        return running;
    }
}
