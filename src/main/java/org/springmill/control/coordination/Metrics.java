package org.springmill.control.coordination;

import io.micrometer.core.instrument.Clock;
import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.Meter;
import io.micrometer.core.instrument.Timer;
import io.micrometer.core.instrument.distribution.ValueAtPercentile;
import io.micrometer.core.instrument.simple.SimpleConfig;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.nio.charset.StandardCharsets;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import java.util.function.ToDoubleFunction;
import org.springmill.transport.Loop;

/**
 * What an operator can read of a controller. The number of series is fixed, and latencies are kept
 * in histograms of bounded size (HdrHistogram, inside Micrometer), so memory does not grow with
 * load.
 */
final class Metrics {
    private static final double[] QUANTILES = {0.5, 0.9, 0.99};

    /** One reading a second is served; metrics must not compete with the work. */
    private static final double SPACING_S = 1;

    private final SimpleMeterRegistry registry;
    private final Loop loop;
    private final Timer acceptance;
    private final Timer round;
    private final Timer commit;
    private final Timer start;
    private final Counter claims;
    private final Counter ends;
    private final Counter restarts;
    private double lastRead = Double.NEGATIVE_INFINITY;

    Metrics(Loop loop) {
        this.loop = loop;
        registry =
                new SimpleMeterRegistry(
                        SimpleConfig.DEFAULT,
                        new Clock() {
                            @Override
                            public long wallTime() {
                                return (long) (loop.now() * 1e3);
                            }

                            @Override
                            public long monotonicTime() {
                                return (long) (loop.now() * 1e9);
                            }
                        });
        acceptance = timer("acceptance", "from a submission's arrival to its 201");
        round = timer("round", "from the start of a round to its commit");
        commit = timer("commit", "one transaction of the state service");
        start = timer("start", "from a claim to the report that its task runs");
        claims = registry.counter("springmill.claims");
        ends = registry.counter("springmill.ends");
        restarts = registry.counter("springmill.tasks.lost");
    }

    private Timer timer(String name, String description) {
        return Timer.builder("springmill." + name)
                .description(description)
                .publishPercentiles(QUANTILES)
                .percentilePrecision(2)
                .register(registry);
    }

    <T> void gauge(String name, T of, ToDoubleFunction<T> value) {
        Gauge.builder("springmill." + name, of, value).strongReference(true).register(registry);
    }

    private void record(Timer timer, double since) {
        timer.record((long) (Math.max(0, loop.now() - since) * 1e9), TimeUnit.NANOSECONDS);
    }

    void accepted(double since) {
        record(acceptance, since);
    }

    void roundCommitted(double since, int claimed, int ended) {
        record(round, since);
        claims.increment(claimed);
        ends.increment(ended);
    }

    void committed(double since) {
        record(commit, since);
    }

    void started(double since) {
        record(start, since);
    }

    void lost() {
        restarts.increment();
    }

    /** All series as text, one to a line; null if they were read less than a second ago. */
    byte[] read() {
        if (loop.now() - lastRead < SPACING_S) {
            return null;
        }
        lastRead = loop.now();
        StringBuilder out = new StringBuilder(2048);
        List<Meter> meters = registry.getMeters();
        meters.stream()
                .sorted(Comparator.comparing(m -> m.getId().getName()))
                .forEach(
                        meter -> {
                            String name = meter.getId().getName().replace('.', '_');
                            if (meter instanceof Timer timer) {
                                for (ValueAtPercentile at :
                                        timer.takeSnapshot().percentileValues()) {
                                    line(
                                            out,
                                            name + "_seconds{quantile=\"" + at.percentile() + "\"}",
                                            at.value(TimeUnit.NANOSECONDS) / 1e9);
                                }
                                line(out, name + "_seconds_count", (double) timer.count());
                                line(
                                        out,
                                        name + "_seconds_sum",
                                        timer.totalTime(TimeUnit.NANOSECONDS) / 1e9);
                            } else if (meter instanceof Counter counter) {
                                line(out, name + "_total", counter.count());
                            } else if (meter instanceof Gauge gauge) {
                                line(out, name, gauge.value());
                            }
                        });
        return out.toString().getBytes(StandardCharsets.UTF_8);
    }

    private static void line(StringBuilder out, String name, double value) {
        out.append(name).append(' ').append(String.format(Locale.ROOT, "%.6g", value)).append('\n');
    }
}
