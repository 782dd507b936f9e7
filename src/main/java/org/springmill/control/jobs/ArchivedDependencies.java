package org.springmill.control.jobs;

import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import org.springmill.control.storage.ArchivedJob;

/**
 * Final states of jobs whose records have been moved to the history while records in memory still
 * name them as dependencies. Until the state of such a job has been read, nothing is concluded from
 * it: the jobs that name it are neither eligible nor cancelled.
 */
final class ArchivedDependencies {
    private final Function<String, ArchivedJob> archivedInMemory;
    private final Map<String, ArchivedJob> resolved = new HashMap<>();
    private final Set<String> unresolved = new LinkedHashSet<>();

    /**
     * @param kept the final state of a moved job if it is in memory anyway, else null
     */
    ArchivedDependencies(Function<String, ArchivedJob> kept) {
        this.archivedInMemory = kept;
    }

    /** The final state of a moved job, as far as it is known; else null. */
    ArchivedJob of(String id) {
        ArchivedJob needed = resolved.get(id);
        return needed != null ? needed : archivedInMemory.apply(id);
    }

    /** A record in memory names a job that has none there. */
    void require(String id) {
        ArchivedJob known = of(id);
        if (known == null) {
            unresolved.add(id);
        } else {
            resolved.put(id, known);
        }
    }

    /** Takes in a final state that a record in memory needs. */
    void resolve(ArchivedJob job) {
        unresolved.remove(job.id());
        resolved.put(job.id(), job);
    }

    /** The state could not be read now: others are read before it is tried again. */
    void postpone(String id) {
        if (unresolved.remove(id)) {
            unresolved.add(id);
        }
    }

    /** The job has a record in memory, or no record in memory names it any more. */
    void release(String id) {
        unresolved.remove(id);
        resolved.remove(id);
    }

    /** The job whose final state has been needed for longest; null if none is. */
    String firstUnresolved() {
        return unresolved.isEmpty() ? null : unresolved.iterator().next();
    }

    boolean hasUnresolved() {
        return !unresolved.isEmpty();
    }
}
