package org.springmill.control.autoscaling;

/** Why a machine is deleted, in the words of the log line that operators read. */
enum DeletionReason {
    FAILED("it failed"),
    CLAIMED_BUT_UNLISTED("it is claimed and not listed"),
    UNRESPONSIVE("it neither reports nor answers"),
    NO_HEARTBEAT("its worker is not heard of"),
    BOOT_TIMED_OUT("it never came up"),
    BOOT_OVERDUE("it is late to come up, and no longer needed"),
    NO_LONGER_LISTED("it is no longer listed"),
    LEASE_EXPIRED("its worker is silent"),
    MISSES_LEADER_RESPONSES("it does not hear this leader"),
    QUARANTINED("it fails what it starts"),
    DRAINED("it was drained"),
    IDLE("it is idle");

    private final String text;

    DeletionReason(String text) {
        this.text = text;
    }

    /** The reason as it stands in the log. */
    String text() {
        return text;
    }
}
