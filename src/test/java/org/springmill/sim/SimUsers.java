package org.springmill.sim;

import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import org.springmill.transport.HttpClient.Reply;
import org.springmill.transport.HttpClient.Request;

/**
 * Users who submit, cancel and poll jobs through a load balancer. The invariant checker gets each
 * request when it is sent and each response when it arrives.
 */
final class SimUsers {
    private static final double POLL_SECONDS = 5;
    private static final double POLL_TIMEOUT_SECONDS = 2;
    private static final double REQUEST_TIMEOUT_SECONDS = 5;
    private static final double PROBE_SECONDS = 1;
    private static final double STEP_SECONDS = 0.01;

    /** A controller is unhealthy after two failed probes; its connections are reset 5 s later. */
    private static final int FAILED_PROBES_UNTIL_RESET = 7;

    private final VirtualClock clock;
    private final SimNetwork network;
    private final InvariantChecker invariants;
    private final SplittableRandom random;
    private final Map<String, Integer> connections = new HashMap<>();
    private final int[] failedProbes = new int[SimSettings.CONTROLLERS];

    SimUsers(
            VirtualClock clock,
            SimNetwork network,
            InvariantChecker invariants,
            SplittableRandom random) {
        this.clock = clock;
        this.network = network;
        this.invariants = invariants;
        this.random = random;
    }

    void send(
            int controller,
            String method,
            String path,
            String body,
            double timeoutSeconds,
            Consumer<Reply> done) {
        Request request =
                new Request(
                        SimSettings.apiAddress(controller),
                        method,
                        path,
                        body.getBytes(StandardCharsets.UTF_8),
                        timeoutSeconds);
        double sentAt = clock.now();
        invariants.requested(request);
        network.send(
                SimSettings.USER,
                request,
                reply -> {
                    invariants.answered(request, sentAt, reply);
                    done.accept(reply);
                });
    }

    /** Sends a request and advances the virtual time until its response arrives. */
    Reply ask(int controller, String method, String path, String body) {
        Reply[] answer = new Reply[1];
        send(controller, method, path, body, REQUEST_TIMEOUT_SECONDS, reply -> answer[0] = reply);
        double steps = REQUEST_TIMEOUT_SECONDS / STEP_SECONDS + 1;
        for (int i = 0; i < steps && answer[0] == null; i++) {
            clock.run(STEP_SECONDS);
        }
        return answer[0];
    }

    /**
     * Starts to poll every unfinished job. A job's polls go to the same controller until the load
     * balancer resets its connections, as on one open connection.
     */
    void startPolling() {
        invariants.pollingStarted();
        probeControllers();
        poll();
    }

    private void probeControllers() {
        for (int i = 0; i < SimSettings.CONTROLLERS; i++) {
            int controller = i;
            Request probe =
                    new Request(
                            SimSettings.apiAddress(i), "GET", "/ready", new byte[0], PROBE_SECONDS);
            network.send(
                    SimSettings.LOAD_BALANCER,
                    probe,
                    reply ->
                            failedProbes[controller] =
                                    reply.ok() ? 0 : failedProbes[controller] + 1);
        }
        clock.after(PROBE_SECONDS, this::probeControllers);
    }

    private void poll() {
        for (String id : invariants.unfinishedJobs()) {
            int controller = connect(id);
            clock.after(
                    random.nextDouble() * POLL_SECONDS,
                    () ->
                            send(
                                    controller,
                                    "GET",
                                    "/submissions/" + id,
                                    "",
                                    POLL_TIMEOUT_SECONDS,
                                    reply -> {}));
        }
        clock.after(POLL_SECONDS, this::poll);
    }

    /** The controller to which a job's user is connected. */
    private int connect(String id) {
        int controller = connections.getOrDefault(id, random.nextInt(SimSettings.CONTROLLERS));
        while (isReset(controller) && hasHealthyEnoughController()) {
            controller = random.nextInt(SimSettings.CONTROLLERS);
        }
        connections.put(id, controller);
        return controller;
    }

    private boolean isReset(int controller) {
        return failedProbes[controller] >= FAILED_PROBES_UNTIL_RESET;
    }

    private boolean hasHealthyEnoughController() {
        for (int i = 0; i < SimSettings.CONTROLLERS; i++) {
            if (!isReset(i)) {
                return true;
            }
        }
        return false;
    }
}
