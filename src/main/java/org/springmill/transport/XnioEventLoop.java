package org.springmill.transport;

import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;

/** The loop on XNIO's only I/O thread. */
final class XnioEventLoop implements EventLoop {
    private static final Logger LOG = LoggerFactory.getLogger(XnioEventLoop.class);

    private final XnioIoThread thread;

    XnioEventLoop(XnioIoThread thread) {
        this.thread = thread;
    }

    @Override
    public double now() {
        return System.nanoTime() / 1e9;
    }

    @Override
    public double timeOfDay() {
        return System.currentTimeMillis() / 1e3;
    }

    @Override
    public Timer after(double seconds, Runnable task) {
        Runnable guarded = () -> runGuarded(task);
        if (seconds <= 0) {
            thread.execute(guarded);
            return () -> {};
        }
        XnioExecutor.Key key =
                thread.executeAfter(
                        guarded, Math.max(1, Math.round(seconds * 1000)), TimeUnit.MILLISECONDS);
        return key::remove;
    }

    /** A defect in one task must not end the thread that serves all the others. */
    static void runGuarded(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException e) {
            LOG.error("task failed", e);
        }
    }
}
