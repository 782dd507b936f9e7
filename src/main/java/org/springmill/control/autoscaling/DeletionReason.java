package org.springmill.control.autoscaling;

/** Why a machine is deleted, with the text that is written to the log. */
enum DeletionReason {
    /** The cloud lists the machine as failed. */
    FAILED("listed as failed"),
    /** Known only from claims and never listed: an earlier leader requested its deletion. */
    CLAIMED_BUT_UNLISTED("claimed but never listed"),
    /** Neither heartbeats nor responses to commands arrive. */
    UNRESPONSIVE("no heartbeat and no response to commands"),
    /** Has claims and has sent this leader no heartbeat. */
    NO_HEARTBEAT("no heartbeat in this term"),
    /** Took too long to boot. */
    BOOT_TIMED_OUT("boot timed out"),
    /** Takes longer to boot than others, and no task waits for a booting machine any more. */
    BOOT_OVERDUE("boot overdue and no longer needed"),
    /** Was listed, and has been missing from the lists for longer than they can lag. */
    NO_LONGER_LISTED("no longer listed"),
    /** Its worker's lease has expired, and it has no task attempts left. */
    LEASE_EXPIRED("worker lease expired"),
    /** Responds to commands, but its heartbeats have reached no controller for a whole lease. */
    HEARTBEATS_LOST("heartbeats reach no controller"),
    /** Sends heartbeats but does not receive the responses. */
    MISSES_LEADER_RESPONSES("misses the responses of this leader"),
    /** Tasks of several jobs failed on it, and it has no task attempts left. */
    QUARANTINED("quarantined"),
    /** Was drained, and has no task attempts left. */
    DRAINED("drained"),
    /** Was idle for longer than the configured time. */
    IDLE("idle");

    private final String text;

    DeletionReason(String text) {
        this.text = text;
    }

    /** The text of the reason in the log. */
    String text() {
        return text;
    }
}
