package org.springmill.control.coordination;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Counts tasks that came or went together, over a window that slides with the clock. Sums are kept
 * up to date, so that reading them takes no time however much happened.
 */
final class RecentTasks {
    private record Event(double at, int tasks) {}

    private final Deque<Event> events = new ArrayDeque<>();
    private double tasks;
    private double squares;

    /** Adds tasks that came or went together. */
    void add(double at, int count) {
        events.add(new Event(at, count));
        tasks += count;
        squares += (double) count * count;
    }

    /** Forgets what happened before a time. */
    void forgetBefore(double time) {
        while (!events.isEmpty() && events.peek().at() < time) {
            Event event = events.poll();
            tasks -= event.tasks();
            squares -= (double) event.tasks() * event.tasks();
        }
    }

    /** How many tasks. */
    double tasks() {
        return tasks;
    }

    /** The sum over all events of the square of their tasks. */
    double squares() {
        return squares;
    }
}
