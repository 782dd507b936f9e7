package org.springmill.control.autoscaling;

/** Why a machine is deleted, with the text of the log line that operators read. */
enum DeletionReason {
    /** The cloud lists the machine as stopped by itself. */
    FAILED("listed as failed"),
    /** Known from claims alone: an earlier leader deleted it. */
    CLAIMED_BUT_UNLISTED("claimed but never listed"),
    /** Neither heartbeats nor responses to commands arrive. */
    UNRESPONSIVE("no heartbeat and no response to commands"),
    /** Has claims and has sent this leader no heartbeat. */
    NO_HEARTBEAT("no heartbeat in this term"),
    /** Did not boot within the operators' patience. */
    BOOT_TIMED_OUT("boot timed out"),
    /** Boots for longer than others, which serve in its place. */
    BOOT_OVERDUE("boot overdue and no longer needed"),
    /** Was listed, and is missing from lists for longer than they lag. */
    NO_LONGER_LISTED("no longer listed"),
    /** Silent beyond its worker's lease, with nothing left on it. */
    LEASE_EXPIRED("worker lease expired"),
    /** Sends heartbeats and receives no response to them. */
    MISSES_LEADER_RESPONSES("misses the responses of this leader"),
    /** Failed tasks of several jobs, and is empty. */
    QUARANTINED("quarantined"),
    /** Was drained, and is empty. */
    DRAINED("drained"),
    /** Was idle for longer than machines are kept for. */
    IDLE("idle");

    private final String text;

    DeletionReason(String text) {
        this.text = text;
    }

    /** The reason as it stands in the log. */
    String text() {
        return text;
    }
}
