package org.springmill.emulator;

import java.util.function.Consumer;
import org.springmill.emulator.Measurements.Latency;
import org.springmill.emulator.Measurements.Message;
import org.springmill.emulator.Scenario.StoreLimits;
import org.springmill.protocol.MalformedMessageException;
import org.springmill.protocol.counterpart.KeyValueStoreServerMessages;
import org.springmill.protocol.counterpart.KeyValueStoreServerMessages.Commit;
import org.springmill.protocol.counterpart.KeyValueStoreServerMessages.Get;
import org.springmill.protocol.counterpart.KeyValueStoreServerMessages.ListKeys;
import org.springmill.protocol.counterpart.KeyValueStoreServerMessages.StoreRequest;
import org.springmill.protocol.counterpart.KeyValueStoreServerMessages.Watch;
import org.springmill.transport.EventLoop;
import org.springmill.transport.HttpClient.Reply;
import org.springmill.transport.HttpHandler;

/**
 * Serves the emulated key-value store over HTTP with the latency and the rate limits of the
 * scenario.
 */
final class EmulatedKeyValueStoreServer implements HttpHandler {
    private static final String UNNAMED_NODE = "";

    private final EventLoop loop;
    private final EmulatedKeyValueStore store;
    private final Measurements measurements;
    private final double latencySeconds;
    private final TokenBucket requests;
    private final TokenBucket writes;
    private long served;
    private long written;
    private long refusedForRate;

    /** A token bucket whose capacity is the rate of one second, as the protocol specifies. */
    private static final class TokenBucket {
        private final double perSecond;
        private double tokens;
        private double refilledAt;

        TokenBucket(double perSecond, double now) {
            this.perSecond = perSecond;
            tokens = perSecond;
            refilledAt = now;
        }

        boolean take(int amount, double now) {
            tokens = Math.min(perSecond, tokens + (now - refilledAt) * perSecond);
            refilledAt = now;
            if (tokens < amount) {
                return false;
            }
            tokens -= amount;
            return true;
        }
    }

    EmulatedKeyValueStoreServer(
            EventLoop loop,
            EmulatedKeyValueStore store,
            StoreLimits limits,
            Measurements measurements) {
        this.loop = loop;
        this.store = store;
        this.measurements = measurements;
        latencySeconds = limits.latencySeconds();
        requests = new TokenBucket(limits.requestsPerSecond(), loop.now());
        writes = new TokenBucket(limits.writesPerSecond(), loop.now());
    }

    @Override
    public void handle(Call call) {
        String target = call.query().isEmpty() ? call.path() : call.path() + "?" + call.query();
        try {
            handle(
                    call,
                    KeyValueStoreServerMessages.decodeRequest(call.method(), target, call.body()));
        } catch (MalformedMessageException e) {
            call.reply(400, KeyValueStoreServerMessages.encodeError(e.getMessage()), 0);
        }
    }

    private void handle(Call call, StoreRequest request) {
        double receivedAt = loop.now();
        int writeCount = request instanceof Commit commit ? commit.writes().size() : 0;
        served++;
        written += writeCount;
        Consumer<Reply> done = reply -> answer(call, request, reply, receivedAt);
        boolean allowed = requests.take(1, receivedAt) && writes.take(writeCount, receivedAt);
        if (allowed || store.down()) {
            loop.after(latencySeconds, () -> store.handle(UNNAMED_NODE, request, done));
        } else {
            refusedForRate++;
            done.accept(
                    new Reply(429, KeyValueStoreServerMessages.encodeError("too many requests")));
        }
    }

    private void answer(Call call, StoreRequest request, Reply reply, double receivedAt) {
        Message kind = kind(request);
        measurements.message(kind, call.body().length, reply.body().length);
        measurements.outcome(kind, reply.status());
        if (kind == Message.STATE_COMMIT) {
            measurements.latency(Latency.COMMIT, loop.now() - receivedAt);
        }
        call.reply(reply.status(), reply.body(), 0);
    }

    private static Message kind(StoreRequest request) {
        if (request instanceof Commit) {
            return Message.STATE_COMMIT;
        } else if (request instanceof Watch) {
            return Message.STATE_WATCH;
        } else if (request instanceof Get || request instanceof ListKeys) {
            return Message.STATE_READ;
        }
        return Message.STATE_LEASE;
    }

    /** Number of well-formed requests so far, including refused ones. */
    long served() {
        return served;
    }

    /** Number of puts and deletes requested so far, including refused ones. */
    long written() {
        return written;
    }

    long refusedForRate() {
        return refusedForRate;
    }
}
