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

    private final ArchivedDependencies moved = new ArchivedDependencies(id -> null);

    /** One that is never found, such as a record that cannot be read, kept all others waiting. */
    @Test
    void aDependencyThatIsNotFoundLetsTheOthersBeReadFirst() {
        moved.require(FIRST);
        moved.require(SECOND);
        assertEquals(FIRST, moved.firstUnresolved());
        moved.postpone(FIRST);
        assertEquals(SECOND, moved.firstUnresolved());
        moved.resolve(new ArchivedJob(SECOND, JobPhase.DONE, 1, false, 0, 1));
        assertEquals(FIRST, moved.firstUnresolved());
    }

    /** Released while it was being looked up, it must not come back. */
    @Test
    void whatIsNoLongerNeededIsNotPostponed() {
        moved.require(FIRST);
        moved.release(FIRST);
        moved.postpone(FIRST);
        assertNull(moved.firstUnresolved());
        assertFalse(moved.hasUnresolved());
    }
}
