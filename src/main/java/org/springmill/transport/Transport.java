package org.springmill.transport;

import io.undertow.connector.ByteBufferPool;
import io.undertow.server.DefaultByteBufferPool;
import java.io.IOException;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;

/** The one I/O thread with everything that runs on it: loop, HTTP server and client, peer link. */
public final class Transport implements AutoCloseable {
    /** Requests and answers of this service mostly fit one buffer. */
    private static final int BUFFER_BYTES = 8 * 1024;

    private final XnioWorker worker;
    private final XnioIoThread thread;
    private final ByteBufferPool buffers = new DefaultByteBufferPool(true, BUFFER_BYTES, 256, 4);
    private final XnioLoop loop;
    private final UndertowClients client;
    private final int maxSockets;

    public Transport(int maxSockets) throws IOException {
        this.maxSockets = maxSockets;
        worker = Xnio.getInstance(Transport.class.getClassLoader()).createWorker(OptionMap.builder()
                .set(Options.WORKER_IO_THREADS, 1)
                .set(Options.WORKER_TASK_CORE_THREADS, 1)
                .set(Options.WORKER_TASK_MAX_THREADS, 1)
                .set(Options.THREAD_DAEMON, false)
                .getMap());
        thread = worker.getIoThread();
        loop = new XnioLoop(thread);
        client = new UndertowClients(thread, buffers, loop);
    }

    public Loop loop() {
        return loop;
    }

    public HttpClient client() {
        return client;
    }

    /** Serves HTTP on an address ("ip:port") and returns the port that was bound. */
    public int serve(String address, HttpHandler handler) throws IOException {
        return UndertowServer.start(worker, buffers, loop, Addresses.parse(address), maxSockets, handler);
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
