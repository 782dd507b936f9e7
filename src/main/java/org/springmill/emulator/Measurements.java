package org.springmill.emulator;

import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;
import org.HdrHistogram.ConcurrentHistogram;

/**
 * Latencies and traffic by kind, recorded from all event loops. Nothing is recorded before the end
 * of the warm-up.
 */
final class Measurements {
    private static final int DIGITS = 3;
    private static final double MICROSECONDS = 1e6;

    private final Map<Latency, ConcurrentHistogram> latencies = new ConcurrentHashMap<>();
    private final Map<Message, Traffic> traffic = new ConcurrentHashMap<>();
    private final Map<String, LongAdder> outcomes = new ConcurrentHashMap<>();
    private final Map<String, LongAdder> refusals = new ConcurrentHashMap<>();
    private volatile boolean counting;

    /** Kinds of latencies. */
    enum Latency {
        /** From a user's first attempt to submit a job to its acceptance. */
        ACCEPTANCE,
        /**
         * From a job's acceptance until a worker receives the start command for one of its tasks.
         */
        CLAIM,
        /** From a start command until the task runs, including the fetch of the image. */
        START,
        /** A user's request for the phase of a job. */
        QUESTION,
        /** A worker's report to a controller. */
        REPORT,
        /** From the first attempt to submit a replica until its model has loaded. */
        SERVING,
        /** A request to a model; only answered requests count. */
        REQUEST,
        /** A transaction at the key-value store, without the network. */
        COMMIT
    }

    /** Kinds of messages to and from controllers. */
    enum Message {
        SUBMISSION,
        QUESTION,
        WITHDRAWAL,
        REPORT,
        COMMANDS,
        STATE_COMMIT,
        STATE_READ,
        STATE_WATCH,
        STATE_LEASE,
        CLOUD
    }

    private static final class Traffic {
        private final LongAdder messages = new LongAdder();
        private final LongAdder requestBytes = new LongAdder();
        private final LongAdder answerBytes = new LongAdder();
    }

    /** Starts to record; called at the end of the warm-up. */
    void start() {
        counting = true;
    }

    void latency(Latency kind, double seconds) {
        if (counting) {
            latencies
                    .computeIfAbsent(kind, k -> new ConcurrentHistogram(DIGITS))
                    .recordValue((long) Math.max(0, seconds * MICROSECONDS));
        }
    }

    void message(Message kind, int requestBytes, int answerBytes) {
        if (counting) {
            Traffic sum = traffic.computeIfAbsent(kind, k -> new Traffic());
            sum.messages.increment();
            sum.requestBytes.add(requestBytes);
            sum.answerBytes.add(answerBytes);
        }
    }

    /** Counts an answer by its kind and status. */
    void outcome(Message kind, int status) {
        if (counting) {
            String name = kind.name().toLowerCase(java.util.Locale.ROOT) + "_" + status;
            outcomes.computeIfAbsent(name, n -> new LongAdder()).increment();
        }
    }

    /** Counts a temporarily refused submission by the reason in the response. */
    void refusal(String reason) {
        if (counting) {
            refusals.computeIfAbsent(reason, r -> new LongAdder()).increment();
        }
    }

    /** Refused submissions by reason. */
    Map<String, Long> refusals() {
        Map<String, Long> all = new TreeMap<>();
        refusals.forEach((reason, sum) -> all.put(reason, sum.sum()));
        return all;
    }

    /** Number of values of a latency, and percentiles in milliseconds. */
    record Percentiles(
            long count, double p50, double p90, double p95, double p99, double p999, double max) {}

    Map<String, Percentiles> percentiles() {
        Map<String, Percentiles> all = new TreeMap<>();
        latencies.forEach(
                (kind, histogram) -> all.put(lowerCaseName(kind), percentiles(histogram)));
        return all;
    }

    private static Percentiles percentiles(ConcurrentHistogram histogram) {
        return new Percentiles(
                histogram.getTotalCount(),
                milliseconds(histogram.getValueAtPercentile(50)),
                milliseconds(histogram.getValueAtPercentile(90)),
                milliseconds(histogram.getValueAtPercentile(95)),
                milliseconds(histogram.getValueAtPercentile(99)),
                milliseconds(histogram.getValueAtPercentile(99.9)),
                milliseconds(histogram.getMaxValue()));
    }

    private static double milliseconds(long microseconds) {
        return microseconds / 1000.0;
    }

    /** Messages of one kind and the bytes of their bodies, per second. */
    record Rates(double messages, double requestBytes, double answerBytes) {}

    Map<String, Rates> rates(double seconds) {
        Map<String, Rates> all = new TreeMap<>();
        traffic.forEach(
                (kind, sum) ->
                        all.put(
                                lowerCaseName(kind),
                                new Rates(
                                        sum.messages.sum() / seconds,
                                        sum.requestBytes.sum() / seconds,
                                        sum.answerBytes.sum() / seconds)));
        return all;
    }

    /** Answers by kind and status. */
    Map<String, Long> outcomes() {
        Map<String, Long> all = new TreeMap<>();
        outcomes.forEach((name, sum) -> all.put(name, sum.sum()));
        return all;
    }

    private static String lowerCaseName(Enum<?> kind) {
        return kind.name().toLowerCase(java.util.Locale.ROOT);
    }
}
