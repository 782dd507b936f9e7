package org.springmill.sim;

import java.util.Comparator;
import java.util.PriorityQueue;
import org.springmill.transport.EventLoop;

/**
 * An event loop whose time advances only in {@link #run}. Timers that are due at the same time run
 * in the order in which they were set.
 */
public final class VirtualClock implements EventLoop {
    private record Task(double at, long order, Runnable run, boolean[] cancelled) {}

    private final PriorityQueue<Task> tasks =
            new PriorityQueue<>(
                    Comparator.comparingDouble(Task::at).thenComparingLong(Task::order));
    private double now = 1000;
    private long order;

    @Override
    public double now() {
        return now;
    }

    @Override
    public double timeOfDay() {
        return now + 1e9;
    }

    @Override
    public Timer after(double seconds, Runnable run) {
        boolean[] cancelled = new boolean[1];
        tasks.add(new Task(now + Math.max(0, seconds), order++, run, cancelled));
        return () -> cancelled[0] = true;
    }

    /** Advances the time by {@code seconds} and runs the timers that become due, in order. */
    public void run(double seconds) {
        double until = now + seconds;
        while (!tasks.isEmpty() && tasks.peek().at() <= until) {
            Task task = tasks.poll();
            now = Math.max(now, task.at());
            if (!task.cancelled()[0]) {
                task.run().run();
            }
        }
        now = until;
    }
}
