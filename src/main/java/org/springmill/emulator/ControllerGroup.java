package org.springmill.emulator;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.springmill.emulator.ControllerSettings.Node;
import org.springmill.emulator.EmulationResult.ControllerUse;
import org.springmill.protocol.UserMessages;
import org.springmill.transport.EventLoop;
import org.springmill.transport.HttpClient;
import org.springmill.transport.HttpClient.Request;

/** Starts, probes, kills and restarts the controller processes of an emulation. */
final class ControllerGroup {
    private static final Logger LOG = LoggerFactory.getLogger(ControllerGroup.class);
    private static final String METRICS_PATH = "/metrics";
    private static final String LEADER_METRIC = "springmill_leading 1";
    private static final double PROBE_SECONDS = 1;
    private static final byte[] EMPTY = new byte[0];

    private final EventLoop loop;
    private final HttpClient client;
    private final Scenario scenario;
    private final List<Node> nodes;
    private final List<ControllerProcess> processes = new ArrayList<>();
    private final double[] startedAt;
    private final double[] secondsUntilReady;
    private final double[] processorSecondsBefore;
    private boolean closed;

    ControllerGroup(
            EventLoop loop,
            HttpClient client,
            Scenario scenario,
            List<Node> nodes,
            String cloud,
            String state,
            Path folder)
            throws IOException {
        this.loop = loop;
        this.client = client;
        this.scenario = scenario;
        this.nodes = nodes;
        startedAt = new double[nodes.size()];
        secondsUntilReady = new double[nodes.size()];
        processorSecondsBefore = new double[nodes.size()];
        for (Node node : nodes) {
            Path settings = folder.resolve(node.name() + ".toml");
            Files.writeString(settings, ControllerSettings.of(scenario, node, nodes, cloud, state));
            processes.add(
                    new ControllerProcess(
                            scenario.controllers().run(),
                            settings,
                            folder.resolve(node.name() + ".log").toFile()));
        }
    }

    void start() {
        for (int i = 0; i < processes.size(); i++) {
            start(i);
        }
        checkProcesses();
    }

    private void start(int controller) {
        if (closed) {
            return;
        }
        try {
            processes.get(controller).start();
            startedAt[controller] = loop.now();
            secondsUntilReady[controller] = 0;
        } catch (IOException e) {
            throw new IllegalStateException(
                    "cannot start controller "
                            + nodes.get(controller).name()
                            + " with command "
                            + scenario.controllers().run(),
                    e);
        }
    }

    private void checkProcesses() {
        if (closed) {
            return;
        }
        for (int i = 0; i < processes.size(); i++) {
            processes.get(i).sample();
            if (processes.get(i).recordUnexpectedEnd()) {
                LOG.warn(
                        "controller {} ended unexpectedly; restarting it in {} s",
                        nodes.get(i).name(),
                        scenario.controllers().restartSeconds());
                scheduleRestart(i);
            }
            if (secondsUntilReady[i] == 0) {
                probe(i);
            }
        }
        loop.after(PROBE_SECONDS / 4, this::checkProcesses);
    }

    private void probe(int controller) {
        Request request =
                new Request(
                        nodes.get(controller).api(),
                        "GET",
                        UserMessages.READINESS_PATH,
                        EMPTY,
                        PROBE_SECONDS);
        client.send(
                request,
                reply -> {
                    if (reply.ok() && secondsUntilReady[controller] == 0) {
                        secondsUntilReady[controller] = loop.now() - startedAt[controller];
                    }
                });
    }

    private void scheduleRestart(int controller) {
        loop.after(scenario.controllers().restartSeconds(), () -> start(controller));
    }

    private void kill(int controller) {
        processes.get(controller).kill();
        scheduleRestart(controller);
    }

    void killAll() {
        for (int i = 0; i < processes.size(); i++) {
            kill(i);
        }
    }

    /** Kills each controller whose metrics say that it is the leader. */
    void killLeader() {
        for (int i = 0; i < nodes.size(); i++) {
            int controller = i;
            Request request =
                    new Request(nodes.get(i).api(), "GET", METRICS_PATH, EMPTY, PROBE_SECONDS);
            client.send(
                    request,
                    reply -> {
                        String text = new String(reply.body(), StandardCharsets.UTF_8);
                        if (text.contains(LEADER_METRIC)) {
                            LOG.info(
                                    "killing controller {}: it is the leader",
                                    nodes.get(controller).name());
                            kill(controller);
                        }
                    });
        }
    }

    /** Begins to measure the processor time that {@link #resourceUse} reports. */
    void startMeasuring() {
        for (int i = 0; i < processes.size(); i++) {
            processorSecondsBefore[i] = processes.get(i).processorSeconds();
        }
    }

    List<ControllerUse> resourceUse(double seconds) {
        List<ControllerUse> use = new ArrayList<>();
        for (int i = 0; i < processes.size(); i++) {
            ControllerProcess process = processes.get(i);
            double processor = process.processorSeconds() - processorSecondsBefore[i];
            use.add(
                    new ControllerUse(
                            nodes.get(i).name(),
                            processor / seconds,
                            process.peakMb(),
                            process.peakSockets(),
                            process.unexpectedEnds(),
                            secondsUntilReady[i]));
        }
        return use;
    }

    /** Kills all processes and starts none again. */
    void close() {
        closed = true;
        processes.forEach(ControllerProcess::kill);
    }
}
