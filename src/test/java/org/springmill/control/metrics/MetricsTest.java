package org.springmill.control.metrics;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;
import org.springmill.sim.SimulatedCluster;
import org.springmill.sim.VirtualClock;

class MetricsTest {
    private static final Pattern METRIC_NAME = Pattern.compile("`(springmill_[a-z_]+)`");
    private static final Set<String> COUNTERS =
            Set.of(
                    "springmill_claims_committed_total",
                    "springmill_job_records_moved_total",
                    "springmill_jobs_suspected_total",
                    "springmill_attempts_ended_total",
                    "springmill_attempts_lost_total",
                    "springmill_worker_leases_expired_total",
                    "springmill_worker_renewals_overdue_total",
                    "springmill_worker_restarts_total",
                    "springmill_recalls_committed_total",
                    "springmill_recalls_fulfilled_total",
                    "springmill_recalls_taken_back_total",
                    "springmill_recalls_withdrawn_total",
                    "springmill_recalls_expired_total",
                    "springmill_tasks_recalled_total",
                    "springmill_held_gpu_seconds_total",
                    "springmill_submissions_refused_memory_total",
                    "springmill_submissions_refused_queue_total",
                    "springmill_submissions_refused_wait_total");

    private static List<String> linesOf(byte[] text) {
        assertNotNull(text);
        return new String(text, StandardCharsets.UTF_8).lines().toList();
    }

    /**
     * Names of the series of a running controller, without quantile labels and summary suffixes.
     */
    private static Set<String> seriesNamesOfController() {
        SimulatedCluster cluster = new SimulatedCluster(1);
        cluster.run(20);
        byte[] text = cluster.ask(cluster.leader(), "GET", "/metrics", "").body();
        Set<String> names = new TreeSet<>();
        for (String line : linesOf(text)) {
            String series = line.substring(0, line.indexOf(' '));
            names.add(series.replaceAll("\\{.*|_count$|_sum$", ""));
        }
        return names;
    }

    @Test
    void operationsPageDescribesExactlyTheSeriesOfAController() throws IOException {
        Set<String> described = new TreeSet<>();
        Matcher matcher = METRIC_NAME.matcher(Files.readString(Path.of("docs/operations.md")));
        while (matcher.find()) {
            described.add(matcher.group(1));
        }
        assertEquals(seriesNamesOfController(), described);
    }

    @Test
    void exactlyTheCountersEndInTotal() {
        Set<String> totals = new TreeSet<>(seriesNamesOfController());
        totals.removeIf(name -> !name.endsWith("_total"));
        assertEquals(new TreeSet<>(COUNTERS), totals);
    }

    @Test
    void durationIsShownInSecondsWithQuantilesCountAndSum() {
        VirtualClock clock = new VirtualClock();
        Metrics metrics = new Metrics(clock);
        metrics.recordAcceptance(clock.now() - 0.5);
        List<String> lines = linesOf(metrics.read());
        String name = "springmill_acceptance_seconds";
        assertTrue(lines.contains(name + "_count 1.00000"), lines.toString());
        assertTrue(lines.contains(name + "_sum 0.500000"), lines.toString());
        List<String> quantiles =
                lines.stream().filter(line -> line.startsWith(name + "{quantile=")).toList();
        assertEquals(3, quantiles.size(), lines.toString());
        assertEquals(
                lines.size(),
                lines.stream().map(line -> line.substring(0, line.indexOf(' '))).distinct().count(),
                "a series is shown only once");
        for (String line : quantiles) {
            double value = Double.parseDouble(line.substring(line.indexOf(' ') + 1));
            assertEquals(0.5, value, 0.01, line);
        }
    }

    @Test
    void secondReadWithinASecondIsRejected() {
        VirtualClock clock = new VirtualClock();
        Metrics metrics = new Metrics(clock);
        assertNotNull(metrics.read());
        clock.run(0.9);
        assertNull(metrics.read());
        clock.run(0.2);
        assertNotNull(metrics.read());
    }
}
