package org.springmill.transport;

import io.undertow.UndertowOptions;
import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.ClientExchange;
import io.undertow.client.ClientRequest;
import io.undertow.client.UndertowClient;
import io.undertow.connector.ByteBufferPool;
import io.undertow.connector.PooledByteBuffer;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.URI;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.ChannelListeners;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.XnioIoThread;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.channels.StreamSourceChannel;

/**
 * Undertow's client with a small pool of kept connections for each address, one request at a time
 * on each. All together are bounded, for a fleet may have more machines than this process has
 * sockets: past the bound the connection that was unused for longest gives way to a new one.
 */
final class UndertowClients implements HttpClient {
    private static final Logger LOG = LoggerFactory.getLogger(UndertowClients.class);

    /** Connections to one worker, and the fewest to a preferred address. */
    private static final int MIN_PER_ADDRESS = 8;

    /** While a connection attempt hangs, no other is begun to that address for this long. */
    private static final double CONNECT_AGAIN_SECONDS = 5.0;

    private static final OptionMap OPTIONS =
            OptionMap.builder()
                    .set(Options.TCP_NODELAY, true)
                    .set(UndertowOptions.ENABLE_HTTP2, false)
                    .getMap();

    private final XnioIoThread thread;
    private final ByteBufferPool buffers;
    private final EventLoop loop;
    private final int limit;
    private final Set<String> preferred;
    private final int perPreferredAddress;
    private final Map<String, Pool> pools = new HashMap<>();

    /** Idle connections that may be given up, the one unused for longest first. */
    private final Set<ClientConnection> spare = new LinkedHashSet<>();

    /** Pools whose next connection waits for one of another pool to come free. */
    private final Set<Pool> crowdedOut = new LinkedHashSet<>();

    private int sockets;

    /**
     * @param limit connections that may be open at once, but for those to preferred addresses
     * @param preferred addresses that are few and always served
     * @param perPreferredAddress connections to each of them. Each carries one request at a time,
     *     so they bound what a service that is far away can be asked in a second.
     */
    UndertowClients(
            XnioIoThread thread,
            ByteBufferPool buffers,
            EventLoop loop,
            int limit,
            Set<String> preferred,
            int perPreferredAddress) {
        this.limit = limit;
        this.perPreferredAddress = Math.max(MIN_PER_ADDRESS, perPreferredAddress);
        this.preferred = preferred;
        this.thread = thread;
        this.buffers = buffers;
        this.loop = loop;
    }

    @Override
    public void send(Request request, Consumer<Reply> done) {
        Pool pool = pools.computeIfAbsent(request.address(), Pool::new);
        pool.submit(new Job(pool, request, done));
    }

    /** Makes room for one more connection if there is none; false if all of them are busy. */
    private boolean roomForOneMore() {
        if (sockets < limit) {
            return true;
        }
        Iterator<ClientConnection> oldest = spare.iterator();
        if (!oldest.hasNext()) {
            return false;
        }
        ClientConnection connection = oldest.next();
        oldest.remove();
        // Closing it takes it out of its pool.
        IoUtils.safeClose(connection);
        return sockets < limit;
    }

    /** A connection came free or was closed: those that waited longest for one may go on. */
    private void serveCrowdedOut() {
        while (!crowdedOut.isEmpty() && (sockets < limit || !spare.isEmpty())) {
            Iterator<Pool> first = crowdedOut.iterator();
            Pool pool = first.next();
            first.remove();
            pool.pump();
        }
    }

    private final class Pool {
        private final String address;
        private final boolean counted;
        private final int mostOpen;
        private final URI uri;
        private final ArrayDeque<ClientConnection> idle = new ArrayDeque<>();
        private final ArrayDeque<Job> waiting = new ArrayDeque<>();
        private int open;
        private int connecting;
        private double lastConnect;

        Pool(String address) {
            this.address = address;
            this.counted = !preferred.contains(address);
            this.mostOpen = counted ? MIN_PER_ADDRESS : perPreferredAddress;
            this.uri = URI.create("http://" + address);
        }

        void submit(Job job) {
            waiting.add(job);
            pump();
        }

        void pump() {
            while (!waiting.isEmpty()) {
                ClientConnection connection = idle.poll();
                if (connection == null) {
                    break;
                }
                spare.remove(connection);
                if (connection.isOpen()) {
                    waiting.poll().start(connection);
                }
            }
            boolean stuck = connecting > 0 && loop.now() - lastConnect > CONNECT_AGAIN_SECONDS;
            if (waiting.size() > connecting
                    && open + connecting < mostOpen
                    && (connecting < 2 || stuck)) {
                if (!counted || roomForOneMore()) {
                    connect();
                } else {
                    crowdedOut.add(this);
                }
            }
        }

        private void count(int change) {
            sockets += counted ? change : 0;
            if (change < 0) {
                serveCrowdedOut();
            }
        }

        private void idle(ClientConnection connection) {
            idle.push(connection);
            if (counted) {
                spare.add(connection);
            }
        }

        private void connect() {
            connecting++;
            count(1);
            lastConnect = loop.now();
            UndertowClient.getInstance()
                    .connect(
                            new ClientCallback<ClientConnection>() {
                                @Override
                                public void completed(ClientConnection connection) {
                                    connecting--;
                                    open++;
                                    connection.getCloseSetter().set(c -> closed(connection));
                                    release(connection);
                                }

                                @Override
                                public void failed(IOException e) {
                                    connecting--;
                                    count(-1);
                                    LOG.debug("connect to {}: {}", address, e.getMessage());
                                    // All that waited for this attempt fail together; each decides
                                    // for itself what to do next.
                                    while (waiting.size() > connecting) {
                                        waiting.poll().finish(Reply.NOT_SENT);
                                    }
                                }
                            },
                            uri,
                            thread,
                            buffers,
                            OPTIONS);
        }

        void release(ClientConnection connection) {
            if (connection.isOpen()) {
                idle(connection);
                pump();
                serveCrowdedOut();
            }
        }

        private void closed(ClientConnection connection) {
            open--;
            idle.remove(connection);
            spare.remove(connection);
            count(-1);
            if (open + connecting + waiting.size() == 0) {
                pools.remove(address, this);
            } else {
                pump();
            }
        }
    }

    /** One request from its queueing to its answer. */
    private final class Job {
        private final Pool pool;
        private final Request request;
        private final Consumer<Reply> done;
        private final EventLoop.Timer timer;
        private ClientConnection connection;
        private boolean finished;

        Job(Pool pool, Request request, Consumer<Reply> done) {
            this.pool = pool;
            this.request = request;
            this.done = done;
            this.timer = loop.after(request.timeoutSeconds(), this::timeOut);
        }

        private void timeOut() {
            if (finished) {
                return;
            }
            if (connection == null) {
                pool.waiting.remove(this);
                if (pool.waiting.isEmpty()) {
                    crowdedOut.remove(pool);
                }
                finish(Reply.NOT_SENT);
            } else {
                finish(Reply.LOST);
                IoUtils.safeClose(connection);
            }
        }

        void finish(Reply reply) {
            if (finished) {
                return;
            }
            finished = true;
            timer.cancel();
            XnioEventLoop.runGuarded(() -> done.accept(reply));
        }

        private void broken(IOException e) {
            LOG.debug(
                    "{} {}{}: {}",
                    request.method(),
                    request.address(),
                    request.path(),
                    e.getMessage());
            finish(Reply.LOST);
            IoUtils.safeClose(connection);
        }

        void start(ClientConnection to) {
            connection = to;
            ClientRequest message = new ClientRequest();
            message.setMethod(new HttpString(request.method()));
            message.setPath(request.path());
            message.getRequestHeaders().put(Headers.HOST, request.address());
            byte[] body = request.body();
            if (body.length > 0 || !request.method().equals("GET")) {
                message.getRequestHeaders().put(Headers.CONTENT_LENGTH, body.length);
                message.getRequestHeaders().put(Headers.CONTENT_TYPE, "application/json");
            }
            to.sendRequest(
                    message,
                    new ClientCallback<ClientExchange>() {
                        @Override
                        public void completed(ClientExchange exchange) {
                            exchange.setResponseListener(
                                    new ClientCallback<ClientExchange>() {
                                        @Override
                                        public void completed(ClientExchange answer) {
                                            read(answer);
                                        }

                                        @Override
                                        public void failed(IOException e) {
                                            broken(e);
                                        }
                                    });
                            if (body.length > 0) {
                                write(exchange, ByteBuffer.wrap(body));
                            }
                        }

                        @Override
                        public void failed(IOException e) {
                            broken(e);
                        }
                    });
        }

        private void write(ClientExchange exchange, ByteBuffer body) {
            StreamSinkChannel channel = exchange.getRequestChannel();
            try {
                while (body.hasRemaining()) {
                    if (channel.write(body) == 0) {
                        channel.getWriteSetter().set(c -> write(exchange, body));
                        channel.resumeWrites();
                        return;
                    }
                }
                channel.shutdownWrites();
                if (channel.flush()) {
                    channel.suspendWrites();
                } else {
                    channel.getWriteSetter()
                            .set(
                                    ChannelListeners.flushingChannelListener(
                                            null, (c, e) -> broken(e)));
                    channel.resumeWrites();
                }
            } catch (IOException e) {
                broken(e);
            }
        }

        private void read(ClientExchange answer) {
            ByteArrayOutputStream body = new ByteArrayOutputStream(512);
            drain(answer, answer.getResponseChannel(), body);
        }

        private void drain(
                ClientExchange answer, StreamSourceChannel channel, ByteArrayOutputStream body) {
            try (PooledByteBuffer pooled = buffers.allocate()) {
                ByteBuffer buffer = pooled.getBuffer();
                while (true) {
                    buffer.clear();
                    int n = channel.read(buffer);
                    if (n < 0) {
                        break;
                    }
                    if (n == 0) {
                        channel.getReadSetter().set(c -> drain(answer, channel, body));
                        channel.resumeReads();
                        return;
                    }
                    byte[] chunk = new byte[n];
                    buffer.flip();
                    buffer.get(chunk);
                    body.write(chunk, 0, n);
                }
            } catch (IOException e) {
                broken(e);
                return;
            }
            int status = answer.getResponse().getResponseCode();
            boolean close =
                    "close"
                            .equalsIgnoreCase(
                                    answer.getResponse()
                                            .getResponseHeaders()
                                            .getFirst(Headers.CONNECTION));
            // The connection goes back first, so that a follow-up sent from the answer's handler
            // can use it.
            if (close) {
                IoUtils.safeClose(connection);
            } else if (!finished) {
                pool.idle(connection);
            }
            finish(new Reply(status, body.toByteArray(), retryAfterSeconds(answer)));
            pool.pump();
            serveCrowdedOut();
        }

        private static int retryAfterSeconds(ClientExchange answer) {
            String header = answer.getResponse().getResponseHeaders().getFirst(Headers.RETRY_AFTER);
            boolean isNumber = header != null && header.matches("\\d{1,6}");
            return isNumber ? Integer.parseInt(header) : 0;
        }
    }
}
