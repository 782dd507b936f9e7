package org.springmill.transport;

import io.undertow.connector.ByteBufferPool;
import io.undertow.server.DefaultByteBufferPool;
import java.io.IOException;
import java.util.Set;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;

/** The one I/O thread with everything that runs on it: loop, HTTP server and client, peer link. */
public final class Transport implements AutoCloseable {
    /** Requests and answers of this service mostly fit one buffer. */
    private static final int BUFFER_BYTES = 8 * 1024;

    /** Workers come with one connection each, users with a few. */
    private static final double SERVER_SHARE = 0.6;

    /** Commands to workers go over kept connections as far as these reach. */
    private static final double CLIENT_SHARE = 0.3;

    /** Of the sockets that neither share takes, what goes to one preferred address. */
    private static final double PREFERRED_ADDRESS_SHARE = 0.03;

    private final XnioWorker worker;
    private final XnioIoThread thread;
    private final ByteBufferPool buffers = new DefaultByteBufferPool(true, BUFFER_BYTES, 256, 4);
    private final XnioEventLoop loop;
    private final UndertowClients client;
    private final int serverSockets;

    /**
     * @param maxSockets what the platform allows; what neither share takes is for the other
     *     controllers and preferred
     * @param preferred addresses whose connections are not bounded with those to workers
     */
    public Transport(int maxSockets, Set<String> preferred) throws IOException {
        serverSockets = Math.max(16, (int) (maxSockets * SERVER_SHARE));
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
        client =
                new UndertowClients(
                        thread,
                        buffers,
                        loop,
                        Math.max(8, (int) (maxSockets * CLIENT_SHARE)),
                        preferred,
                        (int) (maxSockets * PREFERRED_ADDRESS_SHARE));
    }

    /** The loop on which all callbacks run. */
    public EventLoop loop() {
        return loop;
    }

    /** The client for all outgoing requests. */
    public HttpClient client() {
        return client;
    }

    /** Another client with connections of its own, as another host would have. */
    public HttpClient newClient(int maxSockets) {
        return new UndertowClients(thread, buffers, loop, maxSockets, Set.of(), 0);
    }

    /** Serves HTTP on an address ("ip:port") and returns the port that was bound. */
    public int serve(String address, HttpHandler handler) throws IOException {
        return UndertowServer.start(
                worker, buffers, loop, Addresses.parse(address), serverSockets, handler);
    }

    /** Opens the link to the other controllers. */
    public PeerLink peers(String listen, java.util.Map<String, String> peers) throws IOException {
        return new XnioPeerLink(worker, thread, loop, Addresses.parse(listen), peers);
    }

    @Override
    public void close() {
        worker.shutdownNow();
    }
}
