package org.springmill.protocol;

/** How the tasks of a job belong together. */
public enum JobKind {
    /** Independent tasks, each of which runs to completion. */
    ARRAY("sweep"),
    /** Replicas, which run until the job is cancelled. */
    SERVICE("service"),
    /** Tasks that run to completion, but only all at the same time. */
    GANG("group");

    private final String wire;

    JobKind(String wire) {
        this.wire = wire;
    }

    /** The shape with that name on the wire. */
    static JobKind of(String wire) throws MalformedMessageException {
        for (JobKind shape : values()) {
            if (shape.wire.equals(wire)) {
                return shape;
            }
        }
        throw new MalformedMessageException("shape is not one of sweep, service, group");
    }

    /** The name on the wire. */
    String wire() {
        return wire;
    }
}
