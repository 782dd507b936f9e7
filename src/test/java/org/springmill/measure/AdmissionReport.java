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
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.BitmapEncoder.BitmapFormat;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;
import org.knowm.xchart.style.markers.SeriesMarkers;

/**
 * Compares emulated bursts of submissions in one HTML page: goodput, acceptance, refusals by reason
 * and wasted commits.
 *
 * <p>Arguments: the page to write, then for each run a name and its result file.
 */
public final class AdmissionReport {
    private static final ObjectMapper JSON = new ObjectMapper();

    private AdmissionReport() {}

    private record Run(String name, JsonNode result) {
        double latency(String percentile) {
            return result.path("latencyMs").path("acceptance").path(percentile).asDouble();
        }

        long answers(String kind) {
            return result.path("answers").path(kind).asLong();
        }

        List<Double> timeline(String field) {
            List<Double> values = new ArrayList<>();
            result.path("timeline").forEach(point -> values.add(point.path(field).asDouble()));
            return values;
        }
    }

    public static void main(String[] arguments) throws IOException {
        List<Run> runs = new ArrayList<>();
        for (int i = 1; i + 1 < arguments.length; i += 2) {
            JsonNode result = JSON.readTree(Path.of(arguments[i + 1]).toFile());
            runs.add(new Run(arguments[i], result));
        }
        Files.writeString(Path.of(arguments[0]), page(runs));
    }

    private static String page(List<Run> runs) throws IOException {
        StringBuilder html = new StringBuilder();
        html.append("<!doctype html><meta charset=\"utf-8\"><title>Bursts of submissions</title>");
        html.append("<h1>Bursts of submissions</h1><p>Emulated, one run each.</p><table border>");
        html.append("<tr><th>run<th>jobs accepted<th>users who gave up");
        html.append("<th>acceptance p50 / p99 / max, ms<th>requests<th>no answer in time");
        html.append("<th>refusals by reason<th>refused transactions (409)<th>429</tr>");
        runs.forEach(run -> appendRow(html, run));
        html.append("</table>");
        appendChart(html, runs, "accepted", "jobs accepted a second");
        appendChart(html, runs, "unfinishedJobs", "live jobs");
        return html.toString();
    }

    private static void appendRow(StringBuilder html, Run run) {
        long requests = 0;
        for (String status : List.of("200", "201", "429", "503", "0", "-1")) {
            requests += run.answers("submission_" + status);
        }
        long noAnswer = run.answers("submission_0") + run.answers("submission_-1");
        html.append("<tr><td>").append(run.name());
        appendCell(html, run.answers("submission_201"));
        appendCell(html, run.result().path("work").path("submissionsGivenUp").asLong());
        html.append(
                String.format(
                        Locale.ROOT,
                        "<td>%.0f / %.0f / %.0f",
                        run.latency("p50"),
                        run.latency("p99"),
                        run.latency("max")));
        appendCell(html, requests);
        appendCell(html, noAnswer);
        html.append("<td>").append(run.result().path("refusals"));
        appendCell(html, run.answers("state_commit_409"));
        appendCell(html, run.answers("state_commit_429"));
        html.append("</tr>");
    }

    private static void appendCell(StringBuilder html, long value) {
        html.append("<td>").append(value);
    }

    private static void appendChart(StringBuilder html, List<Run> runs, String field, String title)
            throws IOException {
        XYChart chart =
                new XYChartBuilder()
                        .width(900)
                        .height(380)
                        .title(title)
                        .xAxisTitle("seconds")
                        .yAxisTitle(title)
                        .build();
        for (Run run : runs) {
            chart.addSeries(run.name(), run.timeline("second"), run.timeline(field))
                    .setMarker(SeriesMarkers.NONE);
        }
        byte[] image = BitmapEncoder.getBitmapBytes(chart, BitmapFormat.PNG);
        html.append("<p><img alt=\"").append(title).append("\" src=\"data:image/png;base64,");
        html.append(Base64.getEncoder().encodeToString(image)).append("\">");
    }
}
