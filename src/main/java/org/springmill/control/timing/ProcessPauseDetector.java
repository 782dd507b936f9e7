package org.springmill.control.timing;

import java.util.ArrayList;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.springmill.transport.EventLoop;
import org.springmill.transport.HttpClient;
import org.springmill.transport.PeerLink;

/**
 * Detects that this process was paused while its clock continued: its host was suspended, or gave
 * it no CPU time. After a pause, leases and confirmations have to be proven valid again, and
 * missing heartbeats prove nothing. Every turn of the event loop checks for a pause first, so that
 * the listeners are called before any message that arrived during the pause is handled.
 */
public final class ProcessPauseDetector {
    private static final Logger LOG = LoggerFactory.getLogger(ProcessPauseDetector.class);

    /** Frequency of the timer that triggers turns; if it fires a little late, that is no pause. */
    private static final double TURNS_PER_THRESHOLD = 4;

    private final EventLoop loop;
    private final double thresholdSeconds;
    private final List<Runnable> listeners = new ArrayList<>();
    private double lastTurnAt;

    /**
     * Makes a detector; {@link #start} starts it.
     *
     * @param thresholdSeconds a longer time between two turns is a pause
     */
    public ProcessPauseDetector(EventLoop loop, double thresholdSeconds) {
        this.loop = loop;
        this.thresholdSeconds = thresholdSeconds;
        lastTurnAt = loop.now();
    }

    /** Adds a listener that is called after each pause, before anything else is handled. */
    public void onResume(Runnable listener) {
        listeners.add(listener);
    }

    /** Starts detection. The time that the controller took to start is not counted as a pause. */
    public void start() {
        lastTurnAt = loop.now();
        scheduleTurns();
    }

    private void scheduleTurns() {
        beginLoopTurn();
        loop.after(thresholdSeconds / TURNS_PER_THRESHOLD, this::scheduleTurns);
    }

    /** Called at the beginning of each turn of the event loop. */
    public void beginLoopTurn() {
        double now = loop.now();
        double secondsSinceLastTurn = now - lastTurnAt;
        lastTurnAt = now;
        if (secondsSinceLastTurn > thresholdSeconds) {
            LOG.info("process pause of {} s detected", Math.round(secondsSinceLastTurn));
            listeners.forEach(Runnable::run);
        }
    }

    /** Returns an event loop whose tasks first check for a pause. */
    public EventLoop wrap(EventLoop delegate) {
        return new EventLoop() {
            @Override
            public double now() {
                return delegate.now();
            }

            @Override
            public double timeOfDay() {
                return delegate.timeOfDay();
            }

            @Override
            public Timer after(double seconds, Runnable task) {
                return delegate.after(
                        seconds,
                        () -> {
                            beginLoopTurn();
                            task.run();
                        });
            }
        };
    }

    /** Returns a client whose response handlers first check for a pause. */
    public HttpClient wrap(HttpClient delegate) {
        return (request, done) ->
                delegate.send(
                        request,
                        reply -> {
                            beginLoopTurn();
                            done.accept(reply);
                        });
    }

    /** Returns a link whose record handlers first check for a pause. */
    public PeerLink wrap(PeerLink delegate) {
        return new PeerLink() {
            @Override
            public void send(String node, byte[] record) {
                delegate.send(node, record);
            }

            @Override
            public void setListener(Listener listener) {
                delegate.setListener(wrap(listener));
            }
        };
    }

    private PeerLink.Listener wrap(PeerLink.Listener delegate) {
        return new PeerLink.Listener() {
            @Override
            public void onRecord(byte[] record) {
                beginLoopTurn();
                delegate.onRecord(record);
            }

            @Override
            public void onConnectionRefused(String node) {
                beginLoopTurn();
                delegate.onConnectionRefused(node);
            }
        };
    }
}
