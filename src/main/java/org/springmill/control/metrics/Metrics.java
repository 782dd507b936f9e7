package org.springmill.control.metrics;

import io.micrometer.core.instrument.Clock;
import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.FunctionCounter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.Meter;
import io.micrometer.core.instrument.Timer;
import io.micrometer.core.instrument.distribution.ValueAtPercentile;
import io.micrometer.core.instrument.simple.SimpleConfig;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.nio.charset.StandardCharsets;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.ToDoubleFunction;
import org.springmill.control.borrowing.RecallProgress.Outcome;
import org.springmill.transport.EventLoop;

/**
 * The metrics of one controller, in the text format that Prometheus reads. The number of series is
 * fixed, and latencies are kept in histograms of bounded size (HdrHistogram, inside Micrometer), so
 * memory does not grow with load.
 *
 * <p>Names are in snake case. Names of counters end in {@code _total}, names of durations in {@code
 * _seconds}. docs/operations.md describes every series.
 */
public final class Metrics {
    private static final String PREFIX = "springmill_";
    private static final String DURATION_SUFFIX = "_seconds";
    private static final String COUNTER_SUFFIX = "_total";
    private static final double[] QUANTILES = {0.5, 0.9, 0.99};

    /** Significant digits of the quantiles; more would cost memory. */
    private static final int QUANTILE_DIGITS = 2;

    /**
     * Metrics are served at most once per second, so that reading them takes little processor time.
     */
    private static final double MIN_READ_INTERVAL_SECONDS = 1;

    private static final double MILLIS_PER_SECOND = 1e3;
    private static final double NANOS_PER_SECOND = 1e9;
    private static final int INITIAL_TEXT_LENGTH = 2048;

    private final SimpleMeterRegistry registry;
    private final EventLoop loop;
    private final Timer acceptance;
    private final Timer placementRound;
    private final Timer storeCommit;
    private final Timer taskStart;
    private final Counter claimsCommitted;
    private final Counter attemptsEnded;
    private final Counter attemptsLost;
    private final Counter leasesExpired;
    private final Counter renewalsOverdue;
    private final Counter workerRestarts;
    private final Counter recordsMoved;
    private final Counter jobsSuspected;
    private final Counter recallsCommitted;
    private final Counter tasksRecalled;
    private final Counter heldGpuSeconds;
    private final Map<Outcome, Counter> recallsByOutcome = new EnumMap<>(Outcome.class);
    private double lastReadAt = Double.NEGATIVE_INFINITY;

    /** Creates a registry with all counters and timers at 0, which uses the event loop's clock. */
    public Metrics(EventLoop loop) {
        this.loop = loop;
        registry = new SimpleMeterRegistry(SimpleConfig.DEFAULT, new LoopClock(loop));
        acceptance = timer("acceptance", "from a submission's arrival to its 201");
        placementRound = timer("placement_round", "from the start of a round to its commit");
        storeCommit = timer("state_service_commit", "one transaction of the state service");
        taskStart = timer("start", "from a claim to the report that its task runs");
        claimsCommitted = counter("claims_committed");
        attemptsEnded = counter("attempts_ended");
        attemptsLost = counter("attempts_lost");
        leasesExpired = counter("worker_leases_expired");
        renewalsOverdue = counter("worker_renewals_overdue");
        workerRestarts = counter("worker_restarts");
        recordsMoved = counter("job_records_moved");
        jobsSuspected = counter("jobs_suspected");
        recallsCommitted = counter("recalls_committed");
        tasksRecalled = counter("tasks_recalled");
        heldGpuSeconds = counter("held_gpu_seconds");
        for (Outcome outcome : Outcome.values()) {
            String name = outcome.name().toLowerCase(Locale.ROOT);
            recallsByOutcome.put(outcome, counter("recalls_" + name));
        }
    }

    /** Adds a gauge that reads its value from an object whenever the metrics are read. */
    public <T> void gauge(String name, T source, ToDoubleFunction<T> value) {
        Gauge.builder(PREFIX + name, source, value).strongReference(true).register(registry);
    }

    /** Adds a counter that reads its value from an object whenever the metrics are read. */
    public <T> void counter(String name, T source, ToDoubleFunction<T> value) {
        FunctionCounter.builder(PREFIX + name + COUNTER_SUFFIX, source, value).register(registry);
    }

    /** Records that a submission, which arrived at the given time, has been accepted. */
    public void recordAcceptance(double arrivedAt) {
        recordSince(acceptance, arrivedAt);
    }

    /** Records the commit of a placement round that started at the given time. */
    public void recordRoundCommit(double startedAt, int claims, int endedAttempts) {
        recordSince(placementRound, startedAt);
        claimsCommitted.increment(claims);
        attemptsEnded.increment(endedAttempts);
    }

    /** Records the response to a commit that was sent to the store at the given time. */
    public void recordStoreCommit(double sentAt) {
        recordSince(storeCommit, sentAt);
    }

    /** Records that a task, which was claimed at the given time, is running. */
    public void recordTaskStart(double claimedAt) {
        recordSince(taskStart, claimedAt);
    }

    /** Records an attempt that ended because the lease of its worker expired. */
    public void recordLostAttempt() {
        attemptsLost.increment();
    }

    /** Records that the lease of a machine's worker was declared over. */
    public void recordLeaseExpired() {
        leasesExpired.increment();
    }

    /** Records that the heartbeats of a machine have reached no controller for a whole lease. */
    public void recordRenewalOverdue() {
        renewalsOverdue.increment();
    }

    /** Records that a worker's process was found to have been replaced by another one. */
    public void recordWorkerRestart() {
        workerRestarts.increment();
    }

    /** Records that a job became suspect, since its tasks fail on several machines. */
    public void recordSuspectJob() {
        jobsSuspected.increment();
    }

    /** Records a number of recalls that were committed. */
    public void recordRecallsCommitted(int recalls) {
        recallsCommitted.increment(recalls);
    }

    /** Records the outcome of a recall. */
    public void recordRecallOutcome(Outcome outcome) {
        recallsByOutcome.get(outcome).increment();
    }

    /** Records a task that is stopped for a recall. */
    public void recordTaskRecalled() {
        tasksRecalled.increment();
    }

    /** Records GPU-seconds of recalled capacity in hold-down, during which it is not lent again. */
    public void recordHoldDownGpuSeconds(double gpuSeconds) {
        heldGpuSeconds.increment(gpuSeconds);
    }

    /** Records that an ended job was archived. */
    public void recordArchivedJob() {
        recordsMoved.increment();
    }

    /** All series as text, one to a line; null if they were read less than a second ago. */
    public byte[] read() {
        if (loop.now() - lastReadAt < MIN_READ_INTERVAL_SECONDS) {
            return null;
        }
        lastReadAt = loop.now();
        StringBuilder text = new StringBuilder(INITIAL_TEXT_LENGTH);
        List<Meter> meters = registry.getMeters();
        meters.stream()
                .filter(meter -> !isDerived(meter))
                .sorted(Comparator.comparing(meter -> meter.getId().getName()))
                .forEach(meter -> append(text, meter));
        return text.toString().getBytes(StandardCharsets.UTF_8);
    }

    private Timer timer(String name, String description) {
        return Timer.builder(PREFIX + name + DURATION_SUFFIX)
                .description(description)
                .publishPercentiles(QUANTILES)
                .percentilePrecision(QUANTILE_DIGITS)
                .register(registry);
    }

    private Counter counter(String name) {
        return registry.counter(PREFIX + name + COUNTER_SUFFIX);
    }

    private void recordSince(Timer timer, double startedAt) {
        double seconds = Math.max(0, loop.now() - startedAt);
        timer.record((long) (seconds * NANOS_PER_SECOND), TimeUnit.NANOSECONDS);
    }

    /**
     * Whether this is one of the gauges that Micrometer adds for each quantile of a timer; the
     * lines of the timer show the quantiles already.
     */
    private static boolean isDerived(Meter meter) {
        return meter.getId().syntheticAssociation() != null;
    }

    private static void append(StringBuilder text, Meter meter) {
        String name = meter.getId().getName();
        if (meter instanceof Timer timer) {
            appendTimer(text, name, timer);
        } else if (meter instanceof Counter counter) {
            appendLine(text, name, counter.count());
        } else if (meter instanceof FunctionCounter counter) {
            appendLine(text, name, counter.count());
        } else if (meter instanceof Gauge gauge) {
            appendLine(text, name, gauge.value());
        }
    }

    private static void appendTimer(StringBuilder text, String name, Timer timer) {
        for (ValueAtPercentile quantile : timer.takeSnapshot().percentileValues()) {
            String series = name + "{quantile=\"" + quantile.percentile() + "\"}";
            appendLine(text, series, quantile.value(TimeUnit.NANOSECONDS) / NANOS_PER_SECOND);
        }
        double total = timer.totalTime(TimeUnit.NANOSECONDS) / NANOS_PER_SECOND;
        appendLine(text, name + "_count", (double) timer.count());
        appendLine(text, name + "_sum", total);
    }

    private static void appendLine(StringBuilder text, String series, double value) {
        text.append(series).append(' ');
        text.append(String.format(Locale.ROOT, "%.6g", value)).append('\n');
    }

    /** Makes the histograms use the event loop's clock, which tests can control. */
    private static final class LoopClock implements Clock {
        private final EventLoop loop;

        LoopClock(EventLoop loop) {
            this.loop = loop;
        }

        @Override
        public long wallTime() {
            return (long) (loop.now() * MILLIS_PER_SECOND);
        }

        @Override
        public long monotonicTime() {
            return (long) (loop.now() * NANOS_PER_SECOND);
        }
    }
}
