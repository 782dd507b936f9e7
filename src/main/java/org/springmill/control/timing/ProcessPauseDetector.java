package org.springmill.control.timing;

import java.util.ArrayList;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.springmill.transport.EventLoop;
import org.springmill.transport.HttpClient;
import org.springmill.transport.PeerLink;

/**
 * Notices that this controller stood still while its clock ran on: its host was paused, or gave it
 * no processor time. What was true before has to be proven again, and what was not read meanwhile
 * was nobody's silence. Every turn of the event loop passes through here first, so that nothing
 * that came in during a pause is looked at before the listeners know of the pause.
 */
public final class ProcessPauseDetector {
    private static final Logger LOG = LoggerFactory.getLogger(ProcessPauseDetector.class);

    /** A timer keeps turns coming; it may fire late without that being taken for a pause. */
    private static final double TURNS_PER_THRESHOLD = 4;

    private final EventLoop loop;
    private final double thresholdSeconds;
    private final List<Runnable> listeners = new ArrayList<>();
    private double lastTurnAt;

    /**
     * @param boundSeconds a longer time without a turn is a pause
     */
    public ProcessPauseDetector(EventLoop loop, double boundSeconds) {
        this.loop = loop;
        this.thresholdSeconds = boundSeconds;
        lastTurnAt = loop.now();
    }

    /** Has a listener told of each pause, once it is over and before anything else is done. */
    public void onResume(Runnable listener) {
        listeners.add(listener);
    }

    /** Begins to watch: until then the controller is still being put together. */
    public void start() {
        lastTurnAt = loop.now();
        keepTurning();
    }

    private void keepTurning() {
        beginLoopTurn();
        loop.after(thresholdSeconds / TURNS_PER_THRESHOLD, this::keepTurning);
    }

    /** Called at the beginning of each turn of the event loop. */
    public void beginLoopTurn() {
        double now = loop.now();
        double gap = now - lastTurnAt;
        lastTurnAt = now;
        if (gap > thresholdSeconds) {
            LOG.info("nothing was done for {} s", Math.round(gap));
            listeners.forEach(Runnable::run);
        }
    }

    /** A loop whose tasks begin with a look for a pause. */
    public EventLoop wrap(EventLoop watched) {
        return new EventLoop() {
            @Override
            public double now() {
                return watched.now();
            }

            @Override
            public double timeOfDay() {
                return watched.timeOfDay();
            }

            @Override
            public Timer after(double seconds, Runnable task) {
                return watched.after(
                        seconds,
                        () -> {
                            beginLoopTurn();
                            task.run();
                        });
            }
        };
    }

    /** A client whose answers begin with a look for a pause. */
    public HttpClient wrap(HttpClient watched) {
        return (request, done) ->
                watched.send(
                        request,
                        reply -> {
                            beginLoopTurn();
                            done.accept(reply);
                        });
    }

    /** A link whose records begin with a look for a pause. */
    public PeerLink wrap(PeerLink watched) {
        return new PeerLink() {
            @Override
            public void send(String node, byte[] record) {
                watched.send(node, record);
            }

            @Override
            public void onRecord(Listener listener) {
                watched.onRecord(wrap(listener));
            }
        };
    }

    private PeerLink.Listener wrap(PeerLink.Listener watched) {
        return new PeerLink.Listener() {
            @Override
            public void received(byte[] record) {
                beginLoopTurn();
                watched.received(record);
            }

            @Override
            public void refused(String node) {
                beginLoopTurn();
                watched.refused(node);
            }
        };
    }
}
