package org.springmill.control.leadership;

/** Why a heartbeat may be answered with 200: the grounds of docs/design.md, section 7. */
public enum RenewalGround {
    /** Leads, and its lease is valid or in its grace period (7.1). */
    LEADER_LEASE,
    /** Leads with a lease in doubt, while the others confirm an outage (7.2). */
    LEADER_IN_CONFIRMED_OUTAGE,
    /** There is no leader (7.3, K3). */
    VACANT_LEADERSHIP,
    /** A leader has just begun its term (7.3, K4). */
    FAILOVER_SUPPORT,
    /** The others confirm an outage, and none leads (7.3, K1). */
    CONFIRMED_OUTAGE,
    /** Reaches neither the key-value store nor any other controller (7.3, K2). */
    ISOLATED
}
