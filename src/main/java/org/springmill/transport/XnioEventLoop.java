package org.springmill.transport;

import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;

/** The event loop on XNIO's only I/O thread. */
final class XnioEventLoop implements EventLoop {
    private static final Logger LOG = LoggerFactory.getLogger(XnioEventLoop.class);

    private static final double NANOSECONDS_PER_SECOND = 1e9;
    private static final double MILLISECONDS_PER_SECOND = 1e3;

    private final XnioIoThread thread;

    XnioEventLoop(XnioIoThread thread) {
        this.thread = thread;
    }

    @Override
    public double now() {
        return System.nanoTime() / NANOSECONDS_PER_SECOND;
    }

    @Override
    public double timeOfDay() {
        return System.currentTimeMillis() / MILLISECONDS_PER_SECOND;
    }

    @Override
    public Timer after(double seconds, Runnable task) {
        Runnable guarded = () -> runGuarded(task);
        if (seconds <= 0) {
            thread.execute(guarded);
            return () -> {};
        }
        long milliseconds = Math.max(1, Math.round(seconds * MILLISECONDS_PER_SECOND));
        XnioExecutor.Key key = thread.executeAfter(guarded, milliseconds, TimeUnit.MILLISECONDS);
        return key::remove;
    }

    /** Runs a task and logs its exception, which must not end the thread that runs all tasks. */
    static void runGuarded(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException e) {
            LOG.error("event loop task failed; the loop continues with the next task", e);
        }
    }
}
