package org.springmill.transport;

import io.undertow.UndertowOptions;
import io.undertow.connector.ByteBufferPool;
import io.undertow.io.Receiver;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.protocol.http.HttpOpenListener;
import io.undertow.util.Headers;
import io.undertow.util.SameThreadExecutor;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.ChannelListener;
import org.xnio.ChannelListeners;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.XnioWorker;
import org.xnio.channels.AcceptingChannel;

/** An HTTP server that reads whole requests on the I/O thread and passes them to one handler. */
final class UndertowServer {
    private static final Logger LOG = LoggerFactory.getLogger(UndertowServer.class);

    static final int MAX_BODY_BYTES = 64 * 1024;
    private static final int MAX_HEADER_BYTES = 8 * 1024;

    /** Maximum time to receive a request; a half-sent one must not occupy a socket. */
    private static final int REQUEST_TIMEOUT_MILLISECONDS = 5_000;

    private static final int IDLE_TIMEOUT_MILLISECONDS = 30_000;

    private static final double MILLISECONDS_PER_SECOND = 1000.0;

    /** 1/8 of the sockets stays free between the connection limit and the high water mark. */
    private static final int SPARE_FRACTION = 8;

    /** Accepting resumes at this number of connections below the high water mark. */
    private static final int LOW_WATER_DISTANCE = 4;

    /** Minimum listen backlog; the operating system may apply a lower one. */
    private static final int MIN_BACKLOG = 256;

    private UndertowServer() {}

    /**
     * Starts listening; the server stops when its XNIO worker is shut down.
     *
     * @param maxSockets the most open connections
     * @return the port that was bound
     * @throws IOException if the address cannot be bound
     */
    static int start(
            XnioWorker worker,
            ByteBufferPool buffers,
            EventLoop loop,
            InetSocketAddress address,
            int maxSockets,
            HttpHandler handler)
            throws IOException {
        HttpOpenListener listener =
                new HttpOpenListener(
                        buffers,
                        OptionMap.builder()
                                .set(UndertowOptions.MAX_HEADER_SIZE, MAX_HEADER_BYTES)
                                .set(
                                        UndertowOptions.REQUEST_PARSE_TIMEOUT,
                                        REQUEST_TIMEOUT_MILLISECONDS)
                                .set(UndertowOptions.NO_REQUEST_TIMEOUT, IDLE_TIMEOUT_MILLISECONDS)
                                .set(UndertowOptions.ALWAYS_SET_DATE, false)
                                .set(UndertowOptions.ENABLE_HTTP2, false)
                                .getMap());
        // Connections above the high water mark wait in the backlog: a flood of connections must
        // not take the sockets that this controller needs for the key-value store, the cloud and
        // the commands to workers.
        ConnectionLimit connections = new ConnectionLimit(maxSockets - maxSockets / SPARE_FRACTION);
        listener.setRootHandler(
                exchange ->
                        receive(
                                exchange,
                                loop,
                                call -> {
                                    if (!connections.markUsed(exchange.getConnection())) {
                                        exchange.setPersistent(false);
                                    }
                                    handler.handle(call);
                                }));
        // After a failover all workers connect within a second.
        int backlog = Math.max(MIN_BACKLOG, maxSockets / 4);
        ChannelListener<AcceptingChannel<StreamConnection>> acceptor =
                ChannelListeners.openListenerAdapter(
                        connection -> {
                            connections.accept(connection);
                            listener.handleEvent(connection);
                        });
        AcceptingChannel<StreamConnection> channel =
                worker.createStreamConnectionServer(
                        address,
                        acceptor,
                        OptionMap.builder()
                                .set(Options.TCP_NODELAY, true)
                                .set(Options.REUSE_ADDRESSES, true)
                                .set(Options.BACKLOG, backlog)
                                .set(Options.CONNECTION_HIGH_WATER, maxSockets)
                                .set(Options.CONNECTION_LOW_WATER, maxSockets - LOW_WATER_DISTANCE)
                                .getMap());
        channel.resumeAccepts();
        return channel.getLocalAddress(InetSocketAddress.class).getPort();
    }

    private static void receive(HttpServerExchange exchange, EventLoop loop, HttpHandler handler) {
        if (exchange.getRequestContentLength() > MAX_BODY_BYTES) {
            exchange.setPersistent(false);
            deliver(exchange, null, handler);
            return;
        }
        if (exchange.isRequestComplete()) {
            deliver(exchange, new byte[0], handler);
            return;
        }
        EventLoop.Timer timeout =
                loop.after(
                        REQUEST_TIMEOUT_MILLISECONDS / MILLISECONDS_PER_SECOND,
                        () -> IoUtils.safeClose(exchange.getConnection()));
        // The limit of bodies without a declared length has to be set before the channel of the
        // request is obtained.
        exchange.setMaxEntitySize(MAX_BODY_BYTES);
        exchange.getRequestReceiver()
                .receiveFullBytes(
                        (e, body) -> {
                            timeout.cancel();
                            deliver(e, body, handler);
                        },
                        (e, error) -> {
                            timeout.cancel();
                            if (error instanceof Receiver.RequestToLargeException) {
                                e.setPersistent(false);
                                deliver(e, null, handler);
                            } else {
                                IoUtils.safeClose(e.getConnection());
                            }
                        });
    }

    private static void deliver(HttpServerExchange exchange, byte[] body, HttpHandler handler) {
        exchange.dispatch(
                SameThreadExecutor.INSTANCE,
                () -> {
                    UndertowCall call = new UndertowCall(exchange, body);
                    try {
                        handler.handle(call);
                    } catch (RuntimeException e) {
                        LOG.error(
                                "{} {} failed; answering with status 500 unless already answered",
                                call.method(),
                                call.path(),
                                e);
                        call.reply(500, new byte[0], 0);
                    }
                });
    }

    private static final class UndertowCall implements HttpHandler.Call {
        private final HttpServerExchange exchange;
        private final byte[] body;
        private boolean answered;

        UndertowCall(HttpServerExchange exchange, byte[] body) {
            this.exchange = exchange;
            this.body = body;
        }

        @Override
        public String method() {
            return exchange.getRequestMethod().toString();
        }

        @Override
        public String path() {
            return exchange.getRequestPath();
        }

        @Override
        public String query() {
            return exchange.getQueryString();
        }

        @Override
        public byte[] body() {
            return body;
        }

        @Override
        public void reply(int status, byte[] answer, int retryAfterSeconds) {
            if (answered || exchange.isComplete()) {
                return;
            }
            answered = true;
            exchange.setStatusCode(status);
            if (retryAfterSeconds > 0) {
                exchange.getResponseHeaders().put(Headers.RETRY_AFTER, retryAfterSeconds);
            }
            if (answer.length > 0) {
                exchange.getResponseHeaders()
                        .put(
                                Headers.CONTENT_TYPE,
                                answer[0] == '{'
                                        ? "application/json"
                                        : "text/plain; version=0.0.4");
            }
            exchange.getResponseSender().send(ByteBuffer.wrap(answer));
        }
    }
}
