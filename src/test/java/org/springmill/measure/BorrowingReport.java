package org.springmill.measure;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Locale;
import java.util.TreeSet;
import java.util.function.ToDoubleFunction;
import org.HdrHistogram.Histogram;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.BitmapEncoder.BitmapFormat;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;
import org.knowm.xchart.style.markers.SeriesMarkers;

/**
 * Writes an HTML page that compares emulated surges of serving demand without and with recalls:
 * capacity, requests, samples of teams against their entitlement, lost work and idle GPUs.
 *
 * <p>Arguments: the page to write, the folder with the results {@code off-SEED.json} and {@code
 * on-SEED.json}, the guarantee of each team in GPUs, the seed of the plotted runs, and all seeds.
 */
public final class BorrowingReport {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final double MILLIS_PER_SECOND = 1000;
    private static final int DIGITS = 3;

    private BorrowingReport() {}

    /** All runs of one mode. */
    private record Mode(String name, List<JsonNode> runs) {
        double sum(ToDoubleFunction<JsonNode> value) {
            return runs.stream().mapToDouble(value).sum();
        }

        double max(ToDoubleFunction<JsonNode> value) {
            return runs.stream().mapToDouble(value).max().orElse(Double.NaN);
        }
    }

    public static void main(String[] arguments) throws IOException {
        Path folder = Path.of(arguments[1]);
        double guarantee = Double.parseDouble(arguments[2]);
        String plottedSeed = arguments[3];
        List<String> seeds = List.of(arguments).subList(4, arguments.length);
        Mode off = read("off", folder, seeds);
        Mode on = read("on", folder, seeds);
        Files.writeString(
                Path.of(arguments[0]),
                page(off, on, guarantee, plottedSeed, seeds.indexOf(plottedSeed)));
    }

    private static Mode read(String name, Path folder, List<String> seeds) throws IOException {
        List<JsonNode> runs = new ArrayList<>();
        for (String seed : seeds) {
            runs.add(JSON.readTree(folder.resolve(name + "-" + seed + ".json").toFile()));
        }
        return new Mode(name, runs);
    }

    private static String page(
            Mode off, Mode on, double guarantee, String plottedSeed, int plottedIndex)
            throws IOException {
        StringBuilder html = new StringBuilder();
        html.append("<!doctype html><meta charset=\"utf-8\"><title>Recalls of loans</title>");
        html.append("<h1>A surge of serving demand on borrowed GPUs</h1><p>Emulated, ");
        html.append(on.runs().size()).append(" seeds each; scenarios/borrowing.hcl.</p>");
        html.append("<table border><tr><th><th>without recalls<th>with recalls</tr>");
        row(html, "seconds to capacity, p50", off, on, mode -> capacity(mode, 50));
        row(html, "seconds to capacity, p95", off, on, mode -> capacity(mode, 95));
        row(html, "seconds to capacity, maximum", off, on, mode -> capacity(mode, 100));
        row(
                html,
                "seconds from a replica's submission to its loaded model, worst run's p95",
                off,
                on,
                mode -> mode.max(run -> latency(run) / MILLIS_PER_SECOND));
        serving(html, off, on, "requests answered", "answered");
        serving(html, off, on, "requests refused", "refused");
        serving(html, off, on, "requests without an answer in time", "unanswered");
        serving(html, off, on, "looks at all teams, every 50 ms", "samples");
        serving(html, off, on, "samples of a team below its entitlement", "samplesBelow");
        serving(html, off, on, "samples of a team above its limit", "samplesAbove");
        serving(html, off, on, "batch work, task-seconds", "batchTaskSeconds");
        serving(html, off, on, "of it lost, task-seconds", "lostTaskSeconds");
        row(html, "of it lost, per cent", off, on, BorrowingReport::lostPercent);
        serving(html, off, on, "tasks stopped", "tasksStopped");
        serving(html, off, on, "tasks resumed from a checkpoint", "tasksResumed");
        serving(html, off, on, "tasks begun anew", "tasksStartedAnew");
        serving(html, off, on, "idle GPU-seconds", "idleGpuSeconds");
        counter(html, off, on, "recalls committed", "recalls_committed_total");
        counter(html, off, on, "recalls fulfilled", "recalls_fulfilled_total");
        counter(html, off, on, "recalls taken back", "recalls_taken_back_total");
        counter(html, off, on, "recalls withdrawn", "recalls_withdrawn_total");
        counter(html, off, on, "recalls expired", "recalls_expired_total");
        row(html, "rules broken", off, on, mode -> mode.sum(r -> r.path("violationCount").asInt()));
        html.append("</table><p>Plots: seed ").append(plottedSeed).append(".</p>");
        for (Mode mode : List.of(off, on)) {
            JsonNode timeline = mode.runs().get(plottedIndex).path("serving").path("timeline");
            html.append("<h2>").append(mode.name()).append("</h2>");
            demandChart(html, timeline);
            teamChart(html, timeline, guarantee);
        }
        return html.toString();
    }

    /** A percentile of the seconds until capacity met demand; infinite if it never did in a run. */
    private static double capacity(Mode mode, double percentile) {
        Histogram millis = new Histogram(DIGITS);
        for (JsonNode run : mode.runs()) {
            double seconds = run.path("serving").path("secondsToCapacity").asDouble();
            if (seconds < 0) {
                return Double.POSITIVE_INFINITY;
            }
            millis.recordValue((long) (seconds * MILLIS_PER_SECOND));
        }
        return millis.getValueAtPercentile(percentile) / MILLIS_PER_SECOND;
    }

    private static double latency(JsonNode run) {
        return run.path("latencyMs").path("serving").path("p95").asDouble();
    }

    private static double lostPercent(Mode mode) {
        double lost = mode.sum(run -> run.path("serving").path("lostTaskSeconds").asDouble());
        double done = mode.sum(run -> run.path("serving").path("batchTaskSeconds").asDouble());
        return 100 * lost / done;
    }

    private static void serving(StringBuilder html, Mode off, Mode on, String name, String field) {
        row(html, name, off, on, m -> m.sum(run -> run.path("serving").path(field).asDouble()));
    }

    private static void counter(
            StringBuilder html, Mode off, Mode on, String name, String counter) {
        row(
                html,
                name,
                off,
                on,
                mode ->
                        mode.sum(
                                run ->
                                        run.path("serving")
                                                .path("counters")
                                                .path(counter)
                                                .asDouble()));
    }

    private static void row(
            StringBuilder html, String name, Mode off, Mode on, ToDoubleFunction<Mode> value) {
        html.append("<tr><td>").append(name);
        for (Mode mode : List.of(off, on)) {
            double number = value.applyAsDouble(mode);
            String format = number == Math.rint(number) ? "<td>%.0f" : "<td>%.2f";
            html.append(String.format(Locale.ROOT, format, number));
        }
        html.append("</tr>");
    }

    private static void demandChart(StringBuilder html, JsonNode timeline) throws IOException {
        XYChart chart = chart("requests a second");
        add(chart, "demand", timeline, point -> point.path("demand").asDouble());
        add(chart, "capacity", timeline, point -> point.path("capacity").asDouble());
        add(chart, "answered", timeline, point -> point.path("answered").asDouble());
        append(html, chart);
    }

    private static void teamChart(StringBuilder html, JsonNode timeline, double guarantee)
            throws IOException {
        XYChart chart = chart("GPUs in use by team");
        TreeSet<String> teams = new TreeSet<>();
        timeline.forEach(
                point -> point.path("gpusByTeam").fieldNames().forEachRemaining(teams::add));
        for (String team : teams) {
            add(chart, team, timeline, point -> point.path("gpusByTeam").path(team).asDouble());
        }
        add(chart, "batch and fine-tuning", timeline, point -> point.path("batchGpus").asDouble());
        add(chart, "guarantee of each team", timeline, point -> guarantee);
        append(html, chart);
    }

    private static XYChart chart(String title) {
        return new XYChartBuilder()
                .width(900)
                .height(360)
                .title(title)
                .xAxisTitle("seconds")
                .yAxisTitle(title)
                .build();
    }

    private static void add(
            XYChart chart, String name, JsonNode timeline, ToDoubleFunction<JsonNode> value) {
        List<Double> seconds = new ArrayList<>();
        List<Double> values = new ArrayList<>();
        for (JsonNode point : timeline) {
            seconds.add(point.path("second").asDouble());
            values.add(value.applyAsDouble(point));
        }
        chart.addSeries(name, seconds, values).setMarker(SeriesMarkers.NONE);
    }

    private static void append(StringBuilder html, XYChart chart) throws IOException {
        byte[] image = BitmapEncoder.getBitmapBytes(chart, BitmapFormat.PNG);
        html.append("<p><img alt=\"").append(chart.getTitle());
        html.append("\" src=\"data:image/png;base64,");
        html.append(Base64.getEncoder().encodeToString(image)).append("\">");
    }
}
