package org.springmill.protocol;

/** How the tasks of a job belong together. */
public enum Shape {
    /** Independent tasks, each of which runs to completion. */
    ARRAY("sweep"),
    /** Replicas, which run until the job is cancelled. */
    SERVICE("service"),
    /** Tasks that run to completion, but only all at the same time. */
    GANG("group");

    private final String wire;

    Shape(String wire) {
        this.wire = wire;
    }

    /** The shape with that name on the wire. */
    static Shape of(String wire) throws BadMessageException {
        for (Shape shape : values()) {
            if (shape.wire.equals(wire)) {
                return shape;
            }
        }
        throw new BadMessageException("shape is not one of sweep, service, group");
    }

    /** The name on the wire. */
    String wire() {
        return wire;
    }
}
