package org.springmill.transport;

import io.undertow.connector.ByteBufferPool;
import io.undertow.server.DefaultByteBufferPool;
import java.io.IOException;
import java.util.Map;
import java.util.Set;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;

/**
 * The only I/O thread of the process and everything that runs on it: event loop, HTTP servers and
 * clients, peer link. Closing it closes all of them.
 */
public final class Transport implements AutoCloseable {
    /** Most requests and responses fit into one buffer. */
    private static final int BUFFER_BYTES = 8 * 1024;

    /** Share of the sockets for connections of workers, one each, and of users. */
    private static final double SERVER_SHARE = 0.6;

    /** Share of the sockets for connections to workers, kept open until the limit is reached. */
    private static final double CLIENT_SHARE = 0.3;

    /** Share of the sockets for each preferred address, taken from those in neither other share. */
    private static final double PREFERRED_ADDRESS_SHARE = 0.03;

    private static final int MIN_SERVER_SOCKETS = 16;
    private static final int MIN_CLIENT_SOCKETS = 8;
    private static final int MAX_POOLED_BUFFERS = 256;
    private static final int THREAD_LOCAL_BUFFERS = 4;

    private final XnioWorker worker;
    private final XnioIoThread thread;
    private final ByteBufferPool buffers =
            new DefaultByteBufferPool(true, BUFFER_BYTES, MAX_POOLED_BUFFERS, THREAD_LOCAL_BUFFERS);
    private final XnioEventLoop loop;
    private final ClientContext clientContext;
    private final UndertowHttpClient client;
    private final int serverSockets;

    /**
     * Starts the I/O thread.
     *
     * @param maxSockets the most open sockets; those in neither share are for the other controllers
     *     and the preferred addresses
     * @param preferred addresses with separate connection limits, not counted against the limit for
     *     all workers
     * @throws IOException if the thread cannot be started
     */
    public Transport(int maxSockets, Set<String> preferred) throws IOException {
        serverSockets = Math.max(MIN_SERVER_SOCKETS, (int) (maxSockets * SERVER_SHARE));
        worker =
                Xnio.getInstance(Transport.class.getClassLoader())
                        .createWorker(
                                OptionMap.builder()
                                        .set(Options.WORKER_IO_THREADS, 1)
                                        .set(Options.WORKER_TASK_CORE_THREADS, 1)
                                        .set(Options.WORKER_TASK_MAX_THREADS, 1)
                                        .set(Options.THREAD_DAEMON, false)
                                        .getMap());
        thread = worker.getIoThread();
        loop = new XnioEventLoop(thread);
        clientContext = new ClientContext(thread, buffers, loop);
        client =
                new UndertowHttpClient(
                        clientContext,
                        Math.max(MIN_CLIENT_SOCKETS, (int) (maxSockets * CLIENT_SHARE)),
                        preferred,
                        (int) (maxSockets * PREFERRED_ADDRESS_SHARE));
    }

    /**
     * The event loop on which all callbacks run.
     *
     * @return the loop on the I/O thread
     */
    public EventLoop loop() {
        return loop;
    }

    /**
     * The client for all outgoing requests.
     *
     * @return the client that uses the client share of the sockets
     */
    public HttpClient client() {
        return client;
    }

    /**
     * Creates another client, which shares no connections with {@link #client()}.
     *
     * @param maxSockets its most open connections
     * @return a client without preferred addresses
     */
    public HttpClient newClient(int maxSockets) {
        return new UndertowHttpClient(clientContext, maxSockets, Set.of(), 0);
    }

    /**
     * Starts an HTTP server.
     *
     * @param address to listen on, as "ip:port"; port 0 takes any free one
     * @param handler answers the requests
     * @return the port that was bound
     * @throws IOException if the address cannot be bound
     */
    public int serve(String address, HttpHandler handler) throws IOException {
        return UndertowServer.start(
                worker, buffers, loop, Addresses.parse(address), serverSockets, handler);
    }

    /**
     * Opens the link to the other controllers.
     *
     * @param listen address to listen on, as "ip:port"
     * @param peers addresses of the other controllers, by node
     * @return the link, which drops records until it has a listener
     * @throws IOException if the address cannot be bound
     */
    public PeerLink openPeerLink(String listen, Map<String, String> peers) throws IOException {
        return new XnioPeerLink(worker, thread, loop, Addresses.parse(listen), peers);
    }

    @Override
    public void close() {
        worker.shutdownNow();
    }
}
