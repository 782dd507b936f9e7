package org.springmill.emulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.springmill.emulator.EmulatedWorker.Environment;
import org.springmill.protocol.TaskId;
import org.springmill.sim.VirtualClock;

/** An emulation that could not run as its scenario says must fail. */
class EmulationFailureTest {
    private static final int NETWORK = 239;

    private final JobRegistry jobs = new JobRegistry();

    private static final class NoObserver implements EmulatedWorker.Observer {
        @Override
        public void startCommanded(TaskId task) {}

        @Override
        public void started(TaskId task, String machine, String address) {}

        @Override
        public void ended(TaskId task, String machine, boolean done) {}

        @Override
        public void stopCommanded(TaskId task) {}

        @Override
        public void cleared(String machine) {}
    }

    /**
     * Guards against a run that ends with exit code 0 although its workers could not listen and no
     * controller could reach them.
     */
    @Test
    void workerThatCannotListenFailsTheEmulation() throws Exception {
        Scenario scenario = ScenarioFile.read(Path.of("scenarios/smoke.hcl"));
        Environment environment =
                new Environment(
                        scenario,
                        List.of("127.0.0.1:1"),
                        Map.of(),
                        jobs,
                        new Measurements(),
                        new NoObserver());
        CompletableFuture<Void> failed = new CompletableFuture<>();
        List<EmulatedFleet> fleets = new ArrayList<>();
        try {
            // Both fleets have the same addresses, so the second finds them taken.
            for (int i = 0; i < 2; i++) {
                EmulatedFleet fleet =
                        new EmulatedFleet(
                                environment,
                                new SplittableRandom(1),
                                NETWORK,
                                failed::completeExceptionally);
                fleets.add(fleet);
                String zone = scenario.zoneNames().get(0);
                fleet.create("host-000001", scenario.machines().get(0), zone, 0);
            }
            ExecutionException error =
                    assertThrows(ExecutionException.class, () -> failed.get(20, TimeUnit.SECONDS));
            assertTrue(error.getCause() instanceof IOException);
            String message = error.getCause().getMessage();
            assertTrue(message.startsWith("a worker cannot listen on 127." + NETWORK), message);
        } finally {
            fleets.forEach(EmulatedFleet::close);
        }
    }

    @Test
    void runThatStartsNoTaskIsAViolation() throws Exception {
        Scenario scenario = ScenarioFile.read(Path.of("scenarios/smoke.hcl"));
        RuleChecker rules = new RuleChecker(new VirtualClock(), scenario, jobs);
        rules.finished();
        assertEquals(1, rules.violationCount());
        assertTrue(rules.violations().get(0).startsWith("nothing_ran"));
    }
}
