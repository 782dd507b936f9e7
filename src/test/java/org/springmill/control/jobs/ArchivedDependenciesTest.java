package org.springmill.control.jobs;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;

import org.junit.jupiter.api.Test;
import org.springmill.control.storage.ArchivedJob;
import org.springmill.protocol.UserMessages.JobPhase;

class ArchivedDependenciesTest {
    private static final String FIRST = "run-000001";
    private static final String SECOND = "run-000002";

    private final ArchivedDependencies archived = new ArchivedDependencies(id -> null);

    /** Otherwise one that is never found, for example an unreadable record, would block others. */
    @Test
    void dependencyThatIsNotFoundDoesNotBlockOthers() {
        archived.require(FIRST);
        archived.require(SECOND);
        assertEquals(FIRST, archived.firstUnresolved());
        archived.postpone(FIRST);
        assertEquals(SECOND, archived.firstUnresolved());
        archived.resolve(new ArchivedJob(SECOND, JobPhase.DONE, 1, false, 0, 1));
        assertEquals(FIRST, archived.firstUnresolved());
    }

    /** A dependency that is released while it is being looked up must not return to the queue. */
    @Test
    void releasedDependencyIsNotPostponed() {
        archived.require(FIRST);
        archived.release(FIRST);
        archived.postpone(FIRST);
        assertNull(archived.firstUnresolved());
        assertFalse(archived.hasUnresolved());
    }
}
