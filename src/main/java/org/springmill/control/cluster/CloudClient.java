package org.springmill.control.cluster;

import java.util.List;
import java.util.function.Consumer;
import org.springmill.control.storage.TokenBucket;
import org.springmill.control.timing.Timeouts;
import org.springmill.protocol.CloudMessages;
import org.springmill.protocol.Settings;
import org.springmill.transport.EventLoop;
import org.springmill.transport.HttpClient;
import org.springmill.transport.HttpClient.Reply;
import org.springmill.transport.HttpClient.Request;

/**
 * Sends requests to the cloud within the cloud's rate limit. That of a leader is closed at the end
 * of its term; callers check {@link #isClosed} before they schedule further requests.
 */
public final class CloudClient {
    private static final byte[] NO_BODY = new byte[0];

    /** The request timeout is set so that three consecutive attempts fit into one worker lease. */
    private static final double ATTEMPTS_PER_LEASE = 3;

    /**
     * A repeated request uses at most one in this many of the requests that the rate limit allows.
     */
    private static final double REQUESTS_PER_REPEAT = 2;

    private final HttpClient http;
    private final EventLoop loop;
    private final Settings settings;
    private final Timeouts timeouts;
    private final TokenBucket rateLimit;
    private boolean closed;

    /** Creates a client with a full rate limit of its own. */
    public CloudClient(HttpClient http, EventLoop loop, Settings settings, Timeouts timeouts) {
        this.http = http;
        this.loop = loop;
        this.settings = settings;
        this.timeouts = timeouts;
        this.rateLimit = new TokenBucket(settings.cloudLimits().requestsPerSecond(), loop.now());
    }

    /**
     * Marks the end of the leader's term: callers schedule no more requests and ignore responses.
     */
    public void close() {
        closed = true;
    }

    /** Whether {@link #close} has been called. */
    public boolean isClosed() {
        return closed;
    }

    /** Seconds before a periodic or failed request is sent again. */
    public double retryIntervalSeconds() {
        return Math.max(
                timeouts.heartbeatIntervalSeconds() / 2,
                REQUESTS_PER_REPEAT / settings.cloudLimits().requestsPerSecond());
    }

    /** Seconds until the rate limit allows this many requests. */
    public double secondsUntil(int requests) {
        return rateLimit.waitSeconds(requests, loop.now());
    }

    /** Sends a GET request as soon as the rate limit allows it. */
    public void get(String path, Consumer<Reply> done) {
        send(request("GET", path, NO_BODY), done);
    }

    /**
     * Requests the deletion of machines as soon as the rate limit allows it.
     *
     * @param machines at most {@link CloudMessages#MAX_DELETIONS}
     */
    public void delete(List<String> machines, Consumer<Reply> done) {
        send(post(CloudMessages.DELETIONS_PATH, CloudMessages.encodeDeletion(machines)), done);
    }

    /** Builds a POST request that can be sent more than once. */
    public Request post(String path, byte[] body) {
        return request("POST", path, body);
    }

    /** Sends a request as soon as the rate limit allows it. */
    public void send(Request request, Consumer<Reply> done) {
        double waitSeconds = secondsUntil(1);
        rateLimit.take(1, loop.now());
        if (waitSeconds > 0) {
            loop.after(waitSeconds, () -> http.send(request, done));
        } else {
            http.send(request, done);
        }
    }

    private Request request(String method, String path, byte[] body) {
        double timeoutSeconds = timeouts.workerLeaseSeconds() / ATTEMPTS_PER_LEASE;
        return new Request(settings.cloudAddress(), method, path, body, timeoutSeconds);
    }
}
