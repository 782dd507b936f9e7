package org.springmill.control.admission;

/** Why a submission was refused for now, rather than for good. */
public enum AdmissionReason {
    /** The records of active jobs need as much memory as they may. */
    MEMORY("the controllers hold as many jobs as they can"),

    /** Work of this kind waits longer for its start than operators want it to. */
    WAIT("work of this team and priority waits too long already"),

    /** The job's record would be committed only after its user's request has timed out. */
    QUEUE("too many submissions wait for the state service");

    private final String text;

    AdmissionReason(String text) {
        this.text = text;
    }

    /** The text of the response to the user. */
    public String text() {
        return text;
    }
}
