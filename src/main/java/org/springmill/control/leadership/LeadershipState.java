package org.springmill.control.leadership;

import java.util.Map;
import java.util.Set;

/** The role of a controller in leader election, with the legal transitions. */
public enum LeadershipState {
    /** Another controller leads, or no leader is known. */
    FOLLOWING,

    /** Has requested a lease to which to attach its own leader record. */
    CAMPAIGNING,

    /** Leading, and the lease is known to be valid. */
    LEADING,

    /** Leading, but the lease may have expired: nothing is placed. */
    LEASE_UNCERTAIN;

    private static final Map<LeadershipState, Set<LeadershipState>> TRANSITIONS =
            Map.of(
                    FOLLOWING, Set.of(CAMPAIGNING, LEADING),
                    CAMPAIGNING, Set.of(FOLLOWING, LEADING),
                    LEADING, Set.of(FOLLOWING, LEASE_UNCERTAIN),
                    LEASE_UNCERTAIN, Set.of(FOLLOWING, LEADING));

    /** Whether a transition to another state is legal. */
    boolean mayBecome(LeadershipState next) {
        return TRANSITIONS.get(this).contains(next);
    }

    /** Whether this controller was elected and has not learned that its term is over. */
    boolean holdsTerm() {
        return this == LEADING || this == LEASE_UNCERTAIN;
    }
}
