package org.springmill.emulator;

import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.springmill.transport.EventLoop;
import org.springmill.transport.HttpClient;
import org.springmill.transport.HttpClient.Request;

/** Sums the recall counters of all controllers, across restarts of their processes. */
final class LoanCounters {
    private static final double INTERVAL_SECONDS = 1.3;
    private static final String PATH = "/metrics";
    private static final String PREFIX = "springmill_";
    private static final byte[] EMPTY = new byte[0];
    private static final List<String> NAMES =
            List.of(
                    "recalls_committed_total",
                    "recalls_fulfilled_total",
                    "recalls_taken_back_total",
                    "recalls_withdrawn_total",
                    "recalls_expired_total",
                    "tasks_recalled_total",
                    "held_gpu_seconds_total");

    private final EventLoop loop;
    private final HttpClient client;
    private final List<String> controllers;
    private final Map<String, Double> lastRead = new HashMap<>();
    private final Map<String, Double> sums = new TreeMap<>();

    LoanCounters(EventLoop loop, HttpClient client, List<String> controllers) {
        this.loop = loop;
        this.client = client;
        this.controllers = controllers;
    }

    void start() {
        for (String controller : controllers) {
            Request request = new Request(controller, "GET", PATH, EMPTY, INTERVAL_SECONDS);
            client.send(
                    request,
                    reply -> {
                        if (reply.ok()) {
                            read(controller, new String(reply.body(), StandardCharsets.UTF_8));
                        }
                    });
        }
        loop.after(INTERVAL_SECONDS, this::start);
    }

    private void read(String controller, String text) {
        for (String line : text.lines().toList()) {
            int space = line.indexOf(' ');
            String name = space < 0 ? "" : line.substring(0, space).replaceFirst(PREFIX, "");
            if (NAMES.contains(name)) {
                double value = Double.parseDouble(line.substring(space + 1));
                Double before = lastRead.put(controller + name, value);
                // The counters of a restarted process begin at 0.
                double increase = before == null || value < before ? value : value - before;
                sums.merge(name, increase, Double::sum);
            }
        }
    }

    /** The sums by name of the counter. */
    Map<String, Double> sums() {
        return Map.copyOf(sums);
    }
}
