package org.springmill.control.recall;

import org.springmill.control.cluster.Fleet;
import org.springmill.control.metrics.Metrics;
import org.springmill.control.timing.Timeouts;
import org.springmill.transport.EventLoop;

/** Objects of a leader's term that all classes for recalls share. */
record RecallContext(Fleet fleet, EventLoop loop, Timeouts timeouts, Metrics metrics) {}
