package org.springmill.transport;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.ChannelListener;
import org.xnio.IoFuture;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;
import org.xnio.channels.AcceptingChannel;
import org.xnio.conduits.ConduitStreamSinkChannel;
import org.xnio.conduits.ConduitStreamSourceChannel;

/**
 * Sends records over TCP, each prefixed with its length. A controller sends only on connections
 * that it opened and reads records only from those that it accepted, so that a half-open connection
 * in one direction never blocks the other.
 */
final class XnioPeerLink implements PeerLink {
    private static final Logger LOG = LoggerFactory.getLogger(XnioPeerLink.class);

    private static final int MAX_RECORD_BYTES = 32 * 1024;
    private static final int MAX_QUEUED_RECORDS = 16;
    private static final double CONNECT_TIMEOUT_SECONDS = 2.0;

    /** Size of the length prefix of a record. */
    private static final int LENGTH_BYTES = Integer.BYTES;

    private static final OptionMap OPTIONS = OptionMap.create(Options.TCP_NODELAY, true);

    private final XnioIoThread thread;
    private final EventLoop loop;
    private final Map<String, Sender> senders = new HashMap<>();
    private Listener listener =
            new Listener() {
                @Override
                public void onRecord(byte[] record) {
                    LOG.debug("dropped a peer record of {} bytes: no listener set", record.length);
                }

                @Override
                public void onConnectionRefused(String node) {
                    LOG.debug("connection refused by {}: no listener set", node);
                }
            };

    XnioPeerLink(
            XnioWorker worker,
            XnioIoThread thread,
            EventLoop loop,
            InetSocketAddress listen,
            Map<String, String> peers)
            throws IOException {
        this.thread = thread;
        this.loop = loop;
        peers.forEach(
                (node, address) -> senders.put(node, new Sender(node, Addresses.parse(address))));
        AcceptingChannel<StreamConnection> server =
                worker.createStreamConnectionServer(
                        listen,
                        this::accept,
                        OptionMap.builder()
                                .set(Options.TCP_NODELAY, true)
                                .set(Options.REUSE_ADDRESSES, true)
                                .getMap());
        server.resumeAccepts();
    }

    @Override
    public void setListener(Listener newListener) {
        listener = newListener;
    }

    @Override
    public void send(String node, byte[] record) {
        Sender sender = senders.get(node);
        if (sender != null) {
            sender.send(record);
        }
    }

    private void accept(AcceptingChannel<StreamConnection> channel) {
        try {
            StreamConnection connection;
            while ((connection = channel.accept()) != null) {
                read(connection);
            }
        } catch (IOException e) {
            LOG.debug("accepting a peer connection failed: {}", e.getMessage());
        }
    }

    private void read(StreamConnection connection) {
        ByteBuffer buffer = ByteBuffer.allocate(LENGTH_BYTES + MAX_RECORD_BYTES);
        ConduitStreamSourceChannel source = connection.getSourceChannel();
        ChannelListener<ConduitStreamSourceChannel> reader =
                channel -> {
                    try {
                        int bytesRead;
                        while ((bytesRead = channel.read(buffer)) > 0) {
                            if (!deliver(buffer)) {
                                IoUtils.safeClose(connection);
                                return;
                            }
                        }
                        if (bytesRead < 0) {
                            IoUtils.safeClose(connection);
                        }
                    } catch (IOException e) {
                        IoUtils.safeClose(connection);
                    }
                };
        source.setReadListener(reader);
        source.resumeReads();
    }

    /** Delivers every whole record; returns false if a record exceeds the size limit. */
    private boolean deliver(ByteBuffer buffer) {
        buffer.flip();
        while (buffer.remaining() >= LENGTH_BYTES) {
            int length = buffer.getInt(buffer.position());
            if (length < 0 || length > MAX_RECORD_BYTES) {
                return false;
            }
            if (buffer.remaining() < LENGTH_BYTES + length) {
                break;
            }
            buffer.getInt();
            byte[] record = new byte[length];
            buffer.get(record);
            XnioEventLoop.runGuarded(() -> listener.onRecord(record));
        }
        buffer.compact();
        return true;
    }

    /** The connection to one peer, with the queue of records to send. */
    private final class Sender {
        private final String node;
        private final InetSocketAddress address;
        private final ArrayDeque<ByteBuffer> queue = new ArrayDeque<>();
        private StreamConnection connection;
        private IoFuture<StreamConnection> attempt;

        Sender(String node, InetSocketAddress address) {
            this.node = node;
            this.address = address;
        }

        void send(byte[] record) {
            if (queue.size() >= MAX_QUEUED_RECORDS) {
                // The peer does not read: the queued records are outdated and the connection is
                // unusable.
                queue.clear();
                close();
            }
            ByteBuffer frame =
                    ByteBuffer.allocate(LENGTH_BYTES + record.length)
                            .putInt(record.length)
                            .put(record);
            frame.flip();
            queue.add(frame);
            if (connection != null && connection.isOpen()) {
                flush();
            } else if (attempt == null) {
                connect();
            }
        }

        private void connect() {
            IoFuture<StreamConnection> started =
                    thread.openStreamConnection(address, this::opened, OPTIONS);
            attempt = started;
            loop.after(
                    CONNECT_TIMEOUT_SECONDS,
                    () -> {
                        if (attempt == started) {
                            attempt = null;
                            started.cancel();
                            queue.clear();
                        }
                    });
            started.addNotifier(
                    (future, ignored) -> {
                        if (future.getStatus() == IoFuture.Status.FAILED && attempt == started) {
                            attempt = null;
                            queue.clear();
                            XnioEventLoop.runGuarded(() -> listener.onConnectionRefused(node));
                        }
                    },
                    null);
        }

        private void opened(StreamConnection opened) {
            attempt = null;
            connection = opened;
            // Nothing is ever sent back on this connection; reading only detects that the peer has
            // closed it.
            ConduitStreamSourceChannel source = opened.getSourceChannel();
            ByteBuffer discarded = ByteBuffer.allocate(64);
            source.setReadListener(
                    channel -> {
                        try {
                            discarded.clear();
                            if (channel.read(discarded) < 0) {
                                close();
                            }
                        } catch (IOException e) {
                            close();
                        }
                    });
            source.resumeReads();
            opened.getSinkChannel().setWriteListener(channel -> flush());
            flush();
        }

        private void flush() {
            ConduitStreamSinkChannel sink = connection.getSinkChannel();
            try {
                while (!queue.isEmpty()) {
                    sink.write(queue.peek());
                    if (queue.peek().hasRemaining()) {
                        sink.resumeWrites();
                        return;
                    }
                    queue.poll();
                }
                sink.flush();
                sink.suspendWrites();
            } catch (IOException e) {
                close();
            }
        }

        private void close() {
            IoUtils.safeClose(connection);
            connection = null;
            queue.clear();
        }
    }
}
