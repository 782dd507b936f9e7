package org.springmill.protocol;

/** Priorities of jobs, highest first. */
public enum Priority {
    PRODUCTION("prod"),
    HIGH("urgent"),
    NORMAL("normal"),
    LOW("best_effort");

    private final String wire;

    Priority(String wire) {
        this.wire = wire;
    }

    static Priority of(String wire) throws MalformedMessageException {
        for (Priority p : values()) {
            if (p.wire.equals(wire)) {
                return p;
            }
        }
        throw new MalformedMessageException(
                "urgency is not one of prod, urgent, normal, best_effort");
    }

    String wire() {
        return wire;
    }

    public boolean above(Priority other) {
        return compareTo(other) < 0;
    }
}
