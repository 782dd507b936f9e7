package org.springmill.control.autoscaling;

/** Why a machine is deleted, in the words of the log line that operators read. */
enum DeletionReason {
    FAILED("it failed"),
    CLAIMED_BUT_UNLISTED("it is claimed and not listed"),
    UNRESPONSIVE("it neither reports nor answers"),
    NEVER_REPORTED("its worker is not heard of"),
    NEVER_BOOTED("it never came up"),
    REPLACED("it is late to come up, and no longer needed"),
    NO_LONGER_LISTED("it is no longer listed"),
    WORKER_LOST("its worker is silent"),
    IGNORES_LEADER("it does not hear this leader"),
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
