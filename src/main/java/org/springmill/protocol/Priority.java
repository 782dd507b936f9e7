package org.springmill.protocol;

/** Priorities of jobs, highest first. */
public enum Priority {
    /** Production work. */
    PRODUCTION("prod"),
    /** Urgent work. */
    HIGH("urgent"),
    /** Work without special urgency. */
    NORMAL("normal"),
    /** Best-effort work. */
    LOW("best_effort");

    private final String wireName;

    Priority(String wireName) {
        this.wireName = wireName;
    }

    /**
     * The priority with that name on the wire.
     *
     * @throws MalformedMessageException if there is none
     */
    static Priority of(String wireName) throws MalformedMessageException {
        return EnumNames.lookUp(WireFields.PRIORITY, wireName, values(), Priority::wireName);
    }

    /** The name on the wire. */
    String wireName() {
        return wireName;
    }

    /** Whether this priority is higher than another one. */
    public boolean isAbove(Priority other) {
        return compareTo(other) < 0;
    }
}
