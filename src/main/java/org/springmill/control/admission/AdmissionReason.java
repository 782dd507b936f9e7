package org.springmill.control.admission;

/** Why a submission was refused for now, rather than for good. */
public enum AdmissionReason {
    /** The records of live jobs need as much memory as they may. */
    MEMORY("the controllers hold as many jobs as they can"),

    /** Work of this kind waits longer for its start than operators want it to. */
    WAIT("work of this team and priority waits too long already"),

    /** The key-value store would take the job's record only after its user has given up. */
    QUEUE("too many submissions wait for the state service");

    private final String text;

    AdmissionReason(String text) {
        this.text = text;
    }

    /** What the user is told. */
    public String text() {
        return text;
    }
}
