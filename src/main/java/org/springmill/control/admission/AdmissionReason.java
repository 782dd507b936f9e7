package org.springmill.control.admission;

/** Why a submission was refused temporarily. */
public enum AdmissionReason {
    /** The memory that jobs of this team and priority may use is used up. */
    MEMORY("the controllers hold as many jobs as they can"),

    /** The expected wait of such a job exceeds the configured maximum. */
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
