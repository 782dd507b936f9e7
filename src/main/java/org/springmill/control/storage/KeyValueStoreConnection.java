package org.springmill.control.storage;

import java.util.Optional;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.springmill.protocol.MalformedMessageException;
import org.springmill.transport.EventLoop;
import org.springmill.transport.HttpClient;
import org.springmill.transport.HttpClient.Reply;
import org.springmill.transport.HttpClient.Request;

/** Sends requests to the key-value store and keeps track of whether it can be reached. */
final class KeyValueStoreConnection {
    /** All parts of the client log under the client's name. */
    private static final Logger LOG = LoggerFactory.getLogger(KeyValueStoreClient.class);

    private static final byte[] EMPTY_BODY = new byte[0];
    private static final int SERVICE_UNAVAILABLE = 503;

    private final HttpClient http;
    private final EventLoop loop;
    private final String address;
    private boolean isReachable;
    private boolean isRefusing;
    private double lastServedAt = Double.NEGATIVE_INFINITY;

    /** Reads the body of a response. */
    @FunctionalInterface
    interface Parser<T> {
        /**
         * The content of a body.
         *
         * @throws MalformedMessageException if the body does not have the expected form
         */
        T parse(byte[] body) throws MalformedMessageException;
    }

    KeyValueStoreConnection(HttpClient http, EventLoop loop, String address) {
        this.http = http;
        this.loop = loop;
        this.address = address;
    }

    boolean isReachable() {
        return isReachable;
    }

    boolean isRefusing() {
        return isRefusing;
    }

    double lastServedAt() {
        return lastServedAt;
    }

    Request request(String method, String path, byte[] body, double timeoutSeconds) {
        return new Request(address, method, path, body, timeoutSeconds);
    }

    void get(String path, double timeoutSeconds, Consumer<Reply> done) {
        send(request("GET", path, EMPTY_BODY, timeoutSeconds), done);
    }

    void post(String path, byte[] body, double timeoutSeconds, Consumer<Reply> done) {
        send(request("POST", path, body, timeoutSeconds), done);
    }

    void post(String path, double timeoutSeconds, Consumer<Reply> done) {
        post(path, EMPTY_BODY, timeoutSeconds, done);
    }

    void delete(String path, double timeoutSeconds, Consumer<Reply> done) {
        send(request("DELETE", path, EMPTY_BODY, timeoutSeconds), done);
    }

    void send(Request request, Consumer<Reply> done) {
        http.send(
                request,
                reply -> {
                    recordReachability(reply);
                    done.accept(reply);
                });
    }

    private void recordReachability(Reply reply) {
        if (reply.answered() && reply.status() != SERVICE_UNAVAILABLE) {
            isReachable = true;
            isRefusing = false;
            lastServedAt = loop.now();
        } else {
            isReachable = false;
            isRefusing |= reply.answered();
        }
    }

    /** The content of a response; empty, with a log line, if the body is malformed. */
    static <T> Optional<T> parse(Reply reply, Parser<T> parser) {
        try {
            return Optional.of(parser.parse(reply.body()));
        } catch (MalformedMessageException e) {
            LOG.warn(
                    "malformed response of the key-value store: {}; the request counts as failed",
                    e.getMessage());
            return Optional.empty();
        }
    }

    /**
     * The content of a successful response; empty if the request failed or the body is malformed.
     */
    static <T> Optional<T> parseIfOk(Reply reply, Parser<T> parser) {
        return reply.ok() ? parse(reply, parser) : Optional.empty();
    }
}
