package org.springmill.protocol;

/** Execution model of the tasks of a job. */
public enum JobKind {
    /** Independent tasks, each of which runs to completion. */
    ARRAY("sweep"),
    /** Replicas, which run until the job is cancelled. */
    SERVICE("service"),
    /** Tasks that run to completion and must all run at the same time. */
    GANG("group");

    private final String wireName;

    JobKind(String wireName) {
        this.wireName = wireName;
    }

    /**
     * The kind with that name on the wire.
     *
     * @throws MalformedMessageException if there is none
     */
    static JobKind of(String wireName) throws MalformedMessageException {
        return EnumNames.lookUp(WireFields.JOB_KIND, wireName, values(), JobKind::wireName);
    }

    /** The name on the wire. */
    String wireName() {
        return wireName;
    }
}
