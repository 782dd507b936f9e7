package org.springmill.control.simulation;

import java.nio.charset.StandardCharsets;
import org.springmill.transport.HttpClient.Request;

/** Predicates that match messages on the simulated network by sender, receiver or content. */
final class MessageMatchers {
    private MessageMatchers() {}

    static boolean fromController(String from, int controller) {
        return from.equals("n-" + controller);
    }

    static boolean fromWorker(String from) {
        return from.startsWith("host-");
    }

    static boolean toController(Request request, int controller) {
        return request.address().equals("10.0.0." + controller + ":8080");
    }

    static boolean toWorker(Request request) {
        return request.address().startsWith("10.1.");
    }

    static boolean toKeyValueStore(Request request) {
        return request.address().equals("state:1");
    }

    /** Whether the request carries commands from a controller to a worker. */
    static boolean isCommand(Request request) {
        return request.path().equals("/orders");
    }

    static boolean isStartCommand(Request request) {
        return isCommand(request) && text(request).contains("\"start\"");
    }

    static boolean isReport(Request request) {
        return request.path().equals("/v1/report");
    }

    static boolean isCommit(Request request) {
        return request.path().equals("/commit");
    }

    static String text(Request request) {
        return new String(request.body(), StandardCharsets.UTF_8);
    }
}
