package org.springmill.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.InputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

/**
 * Checks the socket limits on real connections over loopback. In a large fleet, a controller runs
 * out of sockets before any other resource.
 */
class TransportTest {
    private static final String REQUEST = "GET /ready HTTP/1.1\r\nHost: x\r\n\r\n";

    /**
     * With more workers than allowed connections, every request is answered, and connections above
     * the limit are closed after the response.
     */
    @Test
    void connectionsAboveTheLimitAreAnsweredAndClosed() throws Exception {
        try (Transport server = new Transport(100, Set.of())) {
            int port = server.serve("127.0.0.1:0", call -> call.reply(200, new byte[0], 0));
            List<Socket> workers = new ArrayList<>();
            int kept = 0;
            for (int i = 0; i < 80; i++) {
                Socket worker = new Socket(InetAddress.getLoopbackAddress(), port);
                workers.add(worker);
                String answer = sendAndReadHead(worker);
                assertTrue(answer.startsWith("HTTP/1.1 200"), answer);
                if (answer.contains("Connection: close")) {
                    worker.close();
                } else {
                    kept++;
                }
            }
            assertEquals(
                    47,
                    kept,
                    "1/8 of 60 sockets stays free, and 1/8 of the rest is reserved for new ones");
            for (Socket worker : workers.subList(0, 47)) {
                assertTrue(
                        sendAndReadHead(worker).startsWith("HTTP/1.1 200"),
                        "a kept connection was evicted");
            }
            for (Socket worker : workers) {
                worker.close();
            }
        }
    }

    private static String sendAndReadHead(Socket socket) throws Exception {
        socket.setSoTimeout(10_000);
        socket.getOutputStream().write(REQUEST.getBytes(StandardCharsets.US_ASCII));
        InputStream in = socket.getInputStream();
        StringBuilder head = new StringBuilder();
        while (!head.toString().endsWith("\r\n\r\n")) {
            int next = in.read();
            assertTrue(next >= 0, "closed without a response");
            head.append((char) next);
        }
        return head.toString();
    }

    /** With more machines than sockets, commands wait for a connection, and all are sent. */
    @Test
    void connectionsToAllWorkersShareOneLimit() throws Exception {
        int machines = 30;
        AtomicInteger concurrent = new AtomicInteger();
        AtomicInteger maxConcurrent = new AtomicInteger();
        CountDownLatch answered = new CountDownLatch(2 * machines);
        try (Transport workers = new Transport(1000, Set.of());
                Transport controller = new Transport(30, Set.of())) {
            List<String> addresses = new ArrayList<>();
            for (int i = 0; i < machines; i++) {
                addresses.add(
                        "127.0.0.1:"
                                + workers.serve(
                                        "127.0.0.1:0",
                                        call -> {
                                            maxConcurrent.accumulateAndGet(
                                                    concurrent.incrementAndGet(), Math::max);
                                            workers.loop()
                                                    .after(
                                                            0.01,
                                                            () -> {
                                                                concurrent.decrementAndGet();
                                                                call.reply(200, new byte[0], 0);
                                                            });
                                        }));
            }
            controller
                    .loop()
                    .after(
                            0,
                            () -> {
                                for (int i = 0; i < 2 * machines; i++) {
                                    controller
                                            .client()
                                            .send(
                                                    new HttpClient.Request(
                                                            addresses.get(i % machines),
                                                            "POST",
                                                            "/orders",
                                                            new byte[] {'{', '}'},
                                                            20),
                                                    reply -> {
                                                        if (reply.ok()) {
                                                            answered.countDown();
                                                        }
                                                    });
                                }
                            });
            assertTrue(
                    answered.await(30, TimeUnit.SECONDS),
                    answered.getCount() + " of 60 requests are not answered");
            assertTrue(maxConcurrent.get() <= 9, maxConcurrent + " concurrent requests, limit 9");
        }
    }
}
