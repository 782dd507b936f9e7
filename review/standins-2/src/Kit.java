import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Locale;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ThreadLocalRandom;

/** What the stand-ins share: JSON, HTTP on loopback, and the record of a case. */
final class Kit {
    static final ObjectMapper MAPPER = new ObjectMapper();
    static final ExecutorService POOL =
            Executors.newCachedThreadPool(
                    task -> {
                        Thread thread = new Thread(task);
                        thread.setDaemon(true);
                        return thread;
                    });
    private static final long STARTED = System.nanoTime();
    private static PrintWriter record;

    static {
        System.setProperty("sun.net.httpserver.nodelay", "true");
        System.setProperty("sun.net.httpserver.idleInterval", "300");
        System.setProperty("sun.net.httpserver.maxIdleConnections", "1000");
        System.setProperty("jdk.httpclient.keepalive.timeout", "20");
    }

    private Kit() {}

    /** A case: returns 1 if the rule was broken, 0 if it held, 2 if it could not run. */
    interface Case {
        int run() throws Exception;
    }

    /** Runs a case that writes its record into a folder, for 115 seconds at most. */
    static void run(String folder, Case body) throws IOException {
        openRecord(Path.of(folder, "record.txt"));
        Thread watchdog =
                new Thread(
                        () -> {
                            sleep(115);
                            record("out of time: the case could not run");
                            System.exit(2);
                        });
        watchdog.setDaemon(true);
        watchdog.start();
        int verdict = 2;
        try {
            verdict = body.run();
        } catch (Exception | Error e) {
            record("the case could not run: " + e);
        }
        System.exit(verdict);
    }

    static boolean trouble() {
        return !"0".equals(System.getenv("TROUBLE"));
    }

    record Answer(int status, JsonNode json) {
        String text(String field) {
            return json == null ? "" : json.path(field).asText();
        }
    }

    interface Handler {
        void handle(HttpExchange call) throws Exception;
    }

    static double time() {
        return (System.nanoTime() - STARTED) / 1e9;
    }

    static void sleep(double seconds) {
        try {
            Thread.sleep(Math.max(1, Math.round(seconds * 1000)));
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    static synchronized void openRecord(Path file) throws IOException {
        record = new PrintWriter(Files.newBufferedWriter(file), true);
    }

    static synchronized void record(String line) {
        if (record != null) {
            record.println(String.format(Locale.ROOT, "%8.3f %s", time(), line));
        }
    }

    static ObjectNode object() {
        return MAPPER.createObjectNode();
    }

    static JsonNode parse(byte[] body) {
        try {
            return MAPPER.readTree(body);
        } catch (IOException e) {
            throw new IllegalArgumentException(e);
        }
    }

    static byte[] bytes(JsonNode json) {
        try {
            return MAPPER.writeValueAsBytes(json);
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    static void reply(HttpExchange call, Answer answer) throws IOException {
        byte[] body = answer.json() == null ? new byte[0] : bytes(answer.json());
        call.sendResponseHeaders(answer.status(), body.length == 0 ? -1 : body.length);
        if (body.length > 0) {
            call.getResponseBody().write(body);
        }
        call.close();
    }

    /** A free port below those that the system gives out by itself, which stand-ins may get. */
    static int freePort() {
        while (true) {
            int port = ThreadLocalRandom.current().nextInt(12_000, 32_000);
            try (ServerSocket socket =
                    new ServerSocket(port, 1, InetAddress.getByName("127.0.0.1"))) {
                return socket.getLocalPort();
            } catch (IOException e) {
                // In use: another one.
            }
        }
    }

    /** Serves HTTP on a free port of loopback and returns the address. */
    static String serve(Handler handler) throws IOException {
        HttpServer server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 256);
        server.setExecutor(POOL);
        server.createContext(
                "/",
                call -> {
                    try {
                        handler.handle(call);
                    } catch (Exception e) {
                        call.close();
                    }
                });
        server.start();
        return "127.0.0.1:" + server.getAddress().getPort();
    }

    private static final HttpClient CLIENT =
            HttpClient.newBuilder()
                    .version(HttpClient.Version.HTTP_1_1)
                    .executor(POOL)
                    .connectTimeout(Duration.ofSeconds(2))
                    .build();

    /** Sends a request; status -1 if there was no answer in time. */
    static Answer send(String method, String address, String path, JsonNode body, double timeout) {
        byte[] bytes = body == null ? new byte[0] : bytes(body);
        HttpRequest request =
                HttpRequest.newBuilder(URI.create("http://" + address + path))
                        .timeout(Duration.ofMillis(Math.round(timeout * 1000)))
                        .method(
                                method,
                                bytes.length == 0
                                        ? HttpRequest.BodyPublishers.noBody()
                                        : HttpRequest.BodyPublishers.ofByteArray(bytes))
                        .build();
        try {
            HttpResponse<byte[]> response =
                    CLIENT.send(request, HttpResponse.BodyHandlers.ofByteArray());
            byte[] answer = response.body();
            JsonNode json = null;
            if (answer.length > 0 && answer[0] == '{') {
                json = parse(answer);
            }
            return new Answer(response.statusCode(), json);
        } catch (IOException | InterruptedException | RuntimeException e) {
            return new Answer(-1, object().put("error", e.toString()));
        }
    }
}
