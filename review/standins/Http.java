import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;

/** A small HTTP/1.1 server and client on loopback: one thread for each connection. */
final class Http {
    private Http() {}

    /** A request as the server read it. */
    record Request(String method, String target, String body) {
        String path() {
            int query = target.indexOf('?');
            return query < 0 ? target : target.substring(0, query);
        }

        /** A parameter of the query; the given default if it is missing. */
        String parameter(String name, String missing) {
            int query = target.indexOf('?');
            if (query >= 0) {
                for (String pair : target.substring(query + 1).split("&")) {
                    if (pair.startsWith(name + "=")) {
                        return pair.substring(name.length() + 1);
                    }
                }
            }
            return missing;
        }
    }

    /** An answer; status 0 means that none came. */
    record Reply(int status, String body) {
        static final Reply NONE = new Reply(0, "");
    }

    /** Answers requests; {@link Reply#NONE} leaves a request without an answer. */
    interface Handler {
        Reply handle(Request request) throws Exception;
    }

    /** Listens on a free loopback port and returns its address. */
    static String serve(String name, Handler handler) throws IOException {
        ServerSocket server = new ServerSocket(0, 512, InetAddress.getByName("127.0.0.1"));
        thread(
                name,
                () -> {
                    while (true) {
                        Socket socket = server.accept();
                        thread(name, () -> serveConnection(socket, handler));
                    }
                });
        return "127.0.0.1:" + server.getLocalPort();
    }

    private static void serveConnection(Socket socket, Handler handler) throws Exception {
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream in = new BufferedInputStream(socket.getInputStream(), 16384);
            OutputStream out = socket.getOutputStream();
            while (true) {
                Request request = readRequest(in);
                if (request == null) {
                    return;
                }
                Reply reply = handler.handle(request);
                if (reply.status() == 0) {
                    Thread.sleep(60_000);
                    return;
                }
                byte[] body = reply.body().getBytes(StandardCharsets.UTF_8);
                String head =
                        "HTTP/1.1 "
                                + reply.status()
                                + " X\r\nContent-Type: application/json\r\nContent-Length: "
                                + body.length
                                + "\r\n\r\n";
                ByteArrayOutputStream all = new ByteArrayOutputStream();
                all.write(head.getBytes(StandardCharsets.US_ASCII));
                all.write(body);
                out.write(all.toByteArray());
                out.flush();
            }
        } catch (IOException e) {
            // The other side has closed the connection.
        }
    }

    private static Request readRequest(InputStream in) throws IOException {
        String first = readLine(in);
        if (first == null || first.isEmpty()) {
            return null;
        }
        String[] parts = first.split(" ");
        return new Request(parts[0], parts[1], readBody(in));
    }

    private static String readBody(InputStream in) throws IOException {
        int length = 0;
        for (String line = readLine(in); line != null && !line.isEmpty(); line = readLine(in)) {
            if (line.toLowerCase(Locale.ROOT).startsWith("content-length:")) {
                length = Integer.parseInt(line.substring(15).trim());
            }
        }
        return new String(in.readNBytes(length), StandardCharsets.UTF_8);
    }

    private static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int c = in.read(); c != '\n'; c = in.read()) {
            if (c < 0) {
                return null;
            }
            if (c != '\r') {
                line.write(c);
            }
        }
        return line.toString(StandardCharsets.US_ASCII);
    }

    /** Sends a request on a connection of its own and waits for the answer. */
    static Reply send(String address, String method, String path, String body, double seconds) {
        long deadline = System.nanoTime() + (long) (seconds * 1e9);
        String[] hostAndPort = address.split(":");
        try (Socket socket = new Socket()) {
            socket.connect(
                    new InetSocketAddress(hostAndPort[0], Integer.parseInt(hostAndPort[1])),
                    (int) (seconds * 1000));
            socket.setTcpNoDelay(true);
            byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
            String head =
                    method
                            + " "
                            + path
                            + " HTTP/1.1\r\nHost: "
                            + address
                            + "\r\nConnection: close\r\nContent-Type: application/json\r\n"
                            + "Content-Length: "
                            + bytes.length
                            + "\r\n\r\n";
            ByteArrayOutputStream all = new ByteArrayOutputStream();
            all.write(head.getBytes(StandardCharsets.US_ASCII));
            all.write(bytes);
            socket.getOutputStream().write(all.toByteArray());
            socket.getOutputStream().flush();
            socket.setSoTimeout((int) Math.max(1, (deadline - System.nanoTime()) / 1_000_000));
            InputStream in = new BufferedInputStream(socket.getInputStream());
            String status = readLine(in);
            return status == null
                    ? Reply.NONE
                    : new Reply(Integer.parseInt(status.split(" ")[1]), readBody(in));
        } catch (IOException e) {
            return Reply.NONE;
        }
    }

    /** A task of a thread of its own; what it throws ends the thread alone. */
    interface Task {
        void run() throws Exception;
    }

    static void thread(String name, Task task) {
        Thread thread =
                new Thread(
                        () -> {
                            try {
                                task.run();
                            } catch (Exception e) {
                                if (!(e instanceof IOException)) {
                                    e.printStackTrace();
                                }
                            }
                        },
                        name);
        thread.setDaemon(true);
        thread.start();
    }
}
