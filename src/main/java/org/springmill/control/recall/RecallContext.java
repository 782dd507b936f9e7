package org.springmill.control.recall;

import org.springmill.control.cluster.Fleet;
import org.springmill.control.metrics.Metrics;
import org.springmill.control.timing.Timeouts;
import org.springmill.transport.EventLoop;

/** What of the leader all parts of recalls use. */
record RecallContext(Fleet fleet, EventLoop loop, Timeouts timeouts, Metrics metrics) {}
