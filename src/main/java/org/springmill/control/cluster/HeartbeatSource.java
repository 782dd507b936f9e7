package org.springmill.control.cluster;

/** How the status of a worker reached the leader. */
public enum HeartbeatSource {
    /** The worker sent it by itself; the answer renews the worker's lease. */
    HEARTBEAT,
    /** The worker returned it in response to commands or a probe, which renews no lease. */
    COMMAND_RESPONSE
}
