package org.springmill.measure;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.BitmapEncoder.BitmapFormat;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;
import org.springmill.control.storage.ArchivedJob;
import org.springmill.control.storage.JobRecord;
import org.springmill.emulator.EmulatedKeyValueStore;
import org.springmill.protocol.Json;
import org.springmill.protocol.KeyValueStoreMessages;
import org.springmill.protocol.KeyValueStoreMessages.Write;
import org.springmill.protocol.Submission;
import org.springmill.protocol.UserMessages.JobPhase;
import org.springmill.transport.HttpHandler.Call;
import org.springmill.transport.Transport;

/**
 * Measures the start of a controller with many ended jobs: time until it is ready and heap in use
 * after a garbage collection, with their records in {@code job/} and with the records moved to the
 * history. Not part of the build; docs/history.md describes how to run it.
 */
public final class HistoryMeasurement {
    private static final int[] COUNTS = {10_000, 50_000, 100_000, 400_000};
    private static final int BATCH = 32;
    private static final String HOST = "127.0.0.1:";
    private static final double READY_WITHIN_SECONDS = 20;
    private static final String TYPES =
            "{\"frames\":[{\"sku\":\"m\",\"vcpus\":64,\"cards\":8,\"memGb\":256,\"localGb\":900,"
                    + "\"pullGbPerS\":1.0,\"price\":1.0,\"marketPrice\":0.5,\"bootS\":30,"
                    + "\"yards\":[\"a\"]}]}";
    private static final Pattern HEAP_USED = Pattern.compile("total \\d+K, used (\\d+)K");
    private static final String RECORD =
            "{\"nameId\":\"run-%06d\",\"grist\":\"storm-sweep\",\"crew\":\"team-001\","
                    + "\"shape\":\"sweep\",\"urgency\":\"best_effort\",\"sacks\":4,\"vcpus\":5.0,"
                    + "\"cards\":1.0,\"memGb\":18.0,\"mould\":\"img-07\",\"pullGb\":42.7,"
                    + "\"samePlace\":false,\"apart\":false,\"loaner\":true,\"expectS\":90.0,"
                    + "\"stashEveryS\":30.0,\"stashS\":4.0}";

    private HistoryMeasurement() {}

    /**
     * The measurement of one started controller.
     *
     * @param readySeconds negative if it was not ready in time or ended before
     * @param heapMb in use after a collection
     */
    public record Result(int jobs, boolean moved, double readySeconds, double heapMb) {}

    /**
     * Measures all counts.
     *
     * @param args file for the results, file for the chart (PNG, without extension), and the run
     *     line of a controller, which may contain --operator; without a run line, the results are
     *     read from their file and only the chart is drawn
     */
    public static void main(String[] args) throws Exception {
        ObjectMapper mapper = new ObjectMapper().enable(SerializationFeature.INDENT_OUTPUT);
        Path file = Path.of(args[0]);
        if (args.length > 2) {
            mapper.writeValue(file.toFile(), measureAll(args[2]));
        }
        draw(List.of(mapper.readValue(file.toFile(), Result[].class)), args[1]);
        System.exit(0);
    }

    private static List<Result> measureAll(String run) throws Exception {
        List<Result> results = new ArrayList<>();
        for (int jobs : COUNTS) {
            for (boolean moved : new boolean[] {false, true}) {
                Result result = measure(jobs, moved, run);
                System.out.println(result);
                results.add(result);
            }
        }
        return results;
    }

    private static Result measure(int jobs, boolean moved, String run) throws Exception {
        try (Transport transport = new Transport(200, Set.of())) {
            EmulatedKeyValueStore store = new EmulatedKeyValueStore(transport.loop(), 8192, BATCH);
            int statePort = transport.serve(HOST + 0, call -> answer(store, call));
            CompletableFuture<Void> filled = new CompletableFuture<>();
            transport
                    .loop()
                    .after(
                            0,
                            () -> {
                                fill(store, jobs, moved);
                                store.start();
                                filled.complete(null);
                            });
            filled.get();
            int cloudPort = transport.serve(HOST + 0, HistoryMeasurement::answerCloud);
            return start(jobs, moved, run, statePort, cloudPort);
        }
    }

    private static void answer(EmulatedKeyValueStore store, Call call) {
        String target = call.query().isEmpty() ? call.path() : call.path() + "?" + call.query();
        store.handle(
                "",
                call.method(),
                target,
                call.body(),
                reply -> call.reply(reply.status(), reply.body(), 0));
    }

    private static void answerCloud(Call call) {
        String text =
                call.path().equals("/machine_types")
                        ? TYPES
                        : "{\"stones\":[],\"truncated\":false}";
        call.reply(200, text.getBytes(StandardCharsets.UTF_8), 0);
    }

    private static void fill(EmulatedKeyValueStore store, int jobs, boolean moved) {
        for (int from = 0; from < jobs; from += BATCH) {
            List<Write> writes = new ArrayList<>();
            for (int i = from; i < Math.min(jobs, from + BATCH); i++) {
                writes.add(write(i, moved));
            }
            byte[] body = KeyValueStoreMessages.encodeTransaction(List.of(), writes);
            store.handle("", "POST", KeyValueStoreMessages.COMMIT_PATH, body, reply -> {});
        }
    }

    private static Write write(int number, boolean moved) {
        try {
            byte[] text = RECORD.formatted(number).getBytes(StandardCharsets.UTF_8);
            JsonNode json = Json.object(text);
            JobRecord ended =
                    JobRecord.accepted(Submission.parse(json), 1.7e9).ended(JobPhase.DONE, 1.7e9);
            ArchivedJob kept = ArchivedJob.of(ended);
            return moved
                    ? Write.put(kept.key(), kept.encode())
                    : Write.put(ended.key(), ended.encode());
        } catch (org.springmill.protocol.MalformedMessageException e) {
            throw new IllegalStateException(e);
        }
    }

    private static Result start(int jobs, boolean moved, String run, int statePort, int cloudPort)
            throws Exception {
        int api = freePort();
        Path settings = Files.createTempFile("measure", ".toml");
        Files.writeString(settings, settings(api, statePort, cloudPort));
        List<String> command = new ArrayList<>(List.of(run.split(" ")));
        command.add(settings.toString());
        long startedAt = System.nanoTime();
        Process process =
                new ProcessBuilder(command)
                        .redirectErrorStream(true)
                        .redirectOutput(ProcessBuilder.Redirect.DISCARD)
                        .start();
        try {
            double readySeconds = awaitReady(process, api, startedAt);
            double heapMb = readySeconds < 0 ? -1 : heapMb(process);
            return new Result(jobs, moved, readySeconds, heapMb);
        } finally {
            process.destroyForcibly().waitFor(10, TimeUnit.SECONDS);
            Files.delete(settings);
        }
    }

    private static double awaitReady(Process process, int api, long startedAt) throws Exception {
        HttpClient client = HttpClient.newHttpClient();
        HttpRequest probe =
                HttpRequest.newBuilder(URI.create("http://" + HOST + api + "/ready"))
                        .timeout(Duration.ofSeconds(1))
                        .build();
        while (process.isAlive()) {
            double seconds = (System.nanoTime() - startedAt) / 1e9;
            if (seconds > READY_WITHIN_SECONDS) {
                return -1;
            }
            try {
                if (client.send(probe, HttpResponse.BodyHandlers.discarding()).statusCode()
                        == 200) {
                    return (System.nanoTime() - startedAt) / 1e9;
                }
            } catch (IOException e) {
                // It does not listen yet.
            }
            Thread.sleep(10);
        }
        return -1;
    }

    private static double heapMb(Process process) throws Exception {
        Thread.sleep(2000);
        jcmd(process, "GC.run");
        Matcher used = HEAP_USED.matcher(jcmd(process, "GC.heap_info"));
        double kilobytes = 0;
        while (used.find()) {
            kilobytes += Double.parseDouble(used.group(1));
        }
        return kilobytes / 1024;
    }

    private static String jcmd(Process process, String command) throws Exception {
        Process jcmd =
                new ProcessBuilder("jcmd", Long.toString(process.pid()), command)
                        .redirectErrorStream(true)
                        .start();
        String text = new String(jcmd.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        jcmd.waitFor();
        return text;
    }

    private static int freePort() throws IOException {
        try (java.net.ServerSocket socket = new java.net.ServerSocket(0)) {
            return socket.getLocalPort();
        }
    }

    private static String settings(int api, int statePort, int cloudPort) {
        return """
        node = "n-0"
        site = "a"
        api_addr = "127.0.0.1:%d"
        peer_bind = "127.0.0.1:0"
        [services]
        cloud = "127.0.0.1:%d"
        state = "127.0.0.1:%d"
        [cluster]
        zones = ["a"]
        skew_ms = 1.0
        [[cluster.teams]]
        name = "team-001"
        [cluster.workers]
        report_s = 2.0
        lease_s = 14.0
        cancel_s = 44.0
        [cluster.state]
        rps = 10000.0
        write_rps = 1000.0
        value_kb = 8.0
        txn_ops = 16
        [cluster.cloud]
        rps = 4.0
        list_lag_s = 3.0
        [cluster.machine_limits]
        cpu_share = 1.0
        ram_mb = 176.0
        max_sockets = 700
        """
                .formatted(api, cloudPort, statePort);
    }

    private static void draw(List<Result> results, String file) throws IOException {
        XYChart chart =
                new XYChartBuilder()
                        .width(800)
                        .height(500)
                        .title("Heap in use after a collection, controller just started, -Xmx56m")
                        .xAxisTitle("jobs that have ended")
                        .yAxisTitle("MB")
                        .build();
        chart.getStyler().setYAxisMin(0.0);
        for (boolean moved : new boolean[] {false, true}) {
            List<Integer> x = new ArrayList<>();
            List<Double> y = new ArrayList<>();
            results.stream()
                    .filter(result -> result.moved() == moved && result.heapMb() >= 0)
                    .forEach(
                            result -> {
                                x.add(result.jobs());
                                y.add(result.heapMb());
                            });
            if (!x.isEmpty()) {
                chart.addSeries(moved ? "records moved" : "records in job/ (before)", x, y);
            }
        }
        BitmapEncoder.saveBitmap(chart, file, BitmapFormat.PNG);
    }
}
