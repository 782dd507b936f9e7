package org.springmill.emulator;

import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;
import org.HdrHistogram.ConcurrentHistogram;

/**
 * Latencies and traffic by kind, recorded from all event loops. Nothing counts before the warm-up
 * is over.
 */
final class Measurements {
    private static final int DIGITS = 3;
    private static final double MICROSECONDS = 1e6;

    private final Map<Latency, ConcurrentHistogram> latencies = new ConcurrentHashMap<>();
    private final Map<Message, Traffic> traffic = new ConcurrentHashMap<>();
    private final Map<String, LongAdder> outcomes = new ConcurrentHashMap<>();
    private final Map<String, LongAdder> refusals = new ConcurrentHashMap<>();
    private volatile boolean counting;

    /** What takes time. */
    enum Latency {
        /** From a user's first attempt to submit a job to its acceptance. */
        ACCEPTANCE,
        /** From a job's acceptance to the start command for a task of it, at its worker. */
        CLAIM,
        /** From a start command to the task's running, image fetch included. */
        START,
        /** A user's question. */
        QUESTION,
        /** A worker's report. */
        REPORT,
        /** From the first attempt to submit a replica until its model has loaded. */
        SERVING,
        /** A request to a model that was answered. */
        REQUEST,
        /** A transaction at the key-value store, as its user sees it without the network. */
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

    /** From now on everything counts. */
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

    /** Counts a submission that was refused for now, by the reason that its user was told. */
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

    /** Percentiles of a latency in milliseconds. */
    record Percentiles(
            long count, double p50, double p90, double p95, double p99, double p999, double max) {}

    Map<String, Percentiles> percentiles() {
        Map<String, Percentiles> all = new TreeMap<>();
        latencies.forEach((kind, histogram) -> all.put(lower(kind), percentiles(histogram)));
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

    /** Messages of one kind, with the bytes of their bodies, a second. */
    record Rates(double messages, double requestBytes, double answerBytes) {}

    Map<String, Rates> rates(double seconds) {
        Map<String, Rates> all = new TreeMap<>();
        traffic.forEach(
                (kind, sum) ->
                        all.put(
                                lower(kind),
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

    private static String lower(Enum<?> kind) {
        return kind.name().toLowerCase(java.util.Locale.ROOT);
    }
}
