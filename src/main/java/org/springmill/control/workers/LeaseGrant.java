package org.springmill.control.workers;

/**
 * The latest event from which the lease of a worker may run, as far as this leader knows.
 *
 * @param at when it happened at the latest, in seconds on the leader's steady clock
 */
record LeaseGrant(Kind kind, double at) {
    /** What granted the lease: one item of claim 7.4 in docs/design.md each. */
    enum Kind {
        /** This leader answered a heartbeat. */
        HEARTBEAT_ANSWERED,
        /** A message first showed the worker's present epoch, which begins with a lease. */
        EPOCH_FIRST_SEEN,
        /** Another controller, or this one while it did not lead, may have answered a heartbeat. */
        RENEWED_BY_PEER,
        /** An earlier leader may have answered a heartbeat. */
        RENEWED_BY_EARLIER_LEADER
    }

    /** The later of two grants. */
    LeaseGrant latest(LeaseGrant other) {
        return other.at > at ? other : this;
    }
}
