package org.springmill.transport;

import io.undertow.client.ClientConnection;
import io.undertow.client.ClientExchange;
import io.undertow.client.ClientRequest;
import io.undertow.client.ClientResponse;
import io.undertow.connector.PooledByteBuffer;
import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.springmill.transport.HttpClient.Reply;
import org.springmill.transport.HttpClient.Request;
import org.xnio.ChannelListeners;
import org.xnio.IoUtils;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.channels.StreamSourceChannel;

/** A request, from the time it is queued until its outcome is known. */
final class PendingRequest {
    private static final Logger LOG = LoggerFactory.getLogger(PendingRequest.class);

    /** Large enough for most response bodies, so that the buffer rarely grows. */
    private static final int INITIAL_BODY_BYTES = 512;

    private final ClientContext context;
    private final ConnectionPool pool;
    private final Request request;
    private final Consumer<Reply> done;
    private final EventLoop.Timer timeout;

    /** The connection that it was sent on; null while it waits for one. */
    private ClientConnection connection;

    private boolean finished;

    /** Creates a request that has not been sent; its timeout starts now. */
    PendingRequest(
            ClientContext context, ConnectionPool pool, Request request, Consumer<Reply> done) {
        this.context = context;
        this.pool = pool;
        this.request = request;
        this.done = done;
        this.timeout = context.loop().after(request.timeoutSeconds(), this::timeOut);
    }

    private void timeOut() {
        if (finished) {
            return;
        }
        if (connection == null) {
            pool.cancel(this);
            finish(Reply.NOT_SENT);
        } else {
            finish(Reply.LOST);
            IoUtils.safeClose(connection);
        }
    }

    /** Passes the first outcome to the caller and ignores later ones. */
    void finish(Reply reply) {
        if (finished) {
            return;
        }
        finished = true;
        timeout.cancel();
        XnioEventLoop.runGuarded(() -> done.accept(reply));
    }

    private void fail(IOException e) {
        LOG.debug(
                "{} {}{} failed: {}",
                request.method(),
                request.address(),
                request.path(),
                e.getMessage());
        finish(Reply.LOST);
        IoUtils.safeClose(connection);
    }

    /** Sends the request on a connection that no other request uses. */
    void send(ClientConnection idleConnection) {
        connection = idleConnection;
        connection.sendRequest(toClientRequest(), Callbacks.of(this::startExchange, this::fail));
    }

    private ClientRequest toClientRequest() {
        ClientRequest message = new ClientRequest();
        message.setMethod(new HttpString(request.method()));
        message.setPath(request.path());
        HeaderMap headers = message.getRequestHeaders();
        headers.put(Headers.HOST, request.address());
        if (request.body().length > 0 || !request.method().equals("GET")) {
            headers.put(Headers.CONTENT_LENGTH, request.body().length);
            headers.put(Headers.CONTENT_TYPE, "application/json");
        }
        return message;
    }

    private void startExchange(ClientExchange exchange) {
        exchange.setResponseListener(Callbacks.of(this::readResponse, this::fail));
        if (request.body().length > 0) {
            writeBody(exchange.getRequestChannel(), ByteBuffer.wrap(request.body()));
        }
    }

    private void writeBody(StreamSinkChannel channel, ByteBuffer body) {
        try {
            while (body.hasRemaining()) {
                if (channel.write(body) == 0) {
                    channel.getWriteSetter().set(writable -> writeBody(channel, body));
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
                                        null, (flushing, e) -> fail(e)));
                channel.resumeWrites();
            }
        } catch (IOException e) {
            fail(e);
        }
    }

    private void readResponse(ClientExchange exchange) {
        readBody(
                exchange.getResponse(),
                exchange.getResponseChannel(),
                new ByteArrayOutputStream(INITIAL_BODY_BYTES));
    }

    private void readBody(
            ClientResponse response, StreamSourceChannel channel, ByteArrayOutputStream body) {
        try (PooledByteBuffer pooled = context.buffers().allocate()) {
            ByteBuffer buffer = pooled.getBuffer();
            while (true) {
                buffer.clear();
                int bytesRead = channel.read(buffer);
                if (bytesRead < 0) {
                    break;
                }
                if (bytesRead == 0) {
                    channel.getReadSetter().set(readable -> readBody(response, channel, body));
                    channel.resumeReads();
                    return;
                }
                byte[] chunk = new byte[bytesRead];
                buffer.flip();
                buffer.get(chunk);
                body.write(chunk, 0, bytesRead);
            }
        } catch (IOException e) {
            fail(e);
            return;
        }
        complete(response, body.toByteArray());
    }

    private void complete(ClientResponse response, byte[] body) {
        HeaderMap headers = response.getResponseHeaders();
        // Return the connection to the pool first, so that a request sent by the caller's callback
        // can use it.
        if ("close".equalsIgnoreCase(headers.getFirst(Headers.CONNECTION))) {
            IoUtils.safeClose(connection);
        } else if (!finished) {
            pool.addIdle(connection);
        }
        finish(new Reply(response.getResponseCode(), body, retryAfterSeconds(headers)));
        pool.dispatchAll();
    }

    private static int retryAfterSeconds(HeaderMap headers) {
        String header = headers.getFirst(Headers.RETRY_AFTER);
        boolean isNumber = header != null && header.matches("\\d{1,6}");
        return isNumber ? Integer.parseInt(header) : 0;
    }
}
