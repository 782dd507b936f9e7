package org.springmill.control.jobs;

import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import org.springmill.control.storage.ArchivedJob;

/**
 * Final states of archived jobs that are dependencies of records in memory. Until such a state has
 * been looked up, its dependents are neither eligible nor cancelled.
 */
final class ArchivedDependencies {
    private final Function<String, ArchivedJob> archivedInMemory;
    private final Map<String, ArchivedJob> resolved = new HashMap<>();
    private final Set<String> unresolved = new LinkedHashSet<>();

    /**
     * @param archivedInMemory returns the final state of an archived job if it is in memory, else
     *     null
     */
    ArchivedDependencies(Function<String, ArchivedJob> archivedInMemory) {
        this.archivedInMemory = archivedInMemory;
    }

    /** The final state of an archived job; null if it is not known. */
    ArchivedJob of(String id) {
        ArchivedJob job = resolved.get(id);
        return job != null ? job : archivedInMemory.apply(id);
    }

    /** Adds a dependency that has no record in memory. */
    void require(String id) {
        ArchivedJob known = of(id);
        if (known == null) {
            unresolved.add(id);
        } else {
            resolved.put(id, known);
        }
    }

    /** Sets the final state of a dependency. */
    void resolve(ArchivedJob job) {
        unresolved.remove(job.id());
        resolved.put(job.id(), job);
    }

    /** Moves a dependency that could not be looked up to the end of the queue. */
    void postpone(String id) {
        if (unresolved.remove(id)) {
            unresolved.add(id);
        }
    }

    /** Removes a job that now has a record in memory or has no more dependents. */
    void release(String id) {
        unresolved.remove(id);
        resolved.remove(id);
    }

    /** The unresolved dependency to look up next; null if all are resolved. */
    String firstUnresolved() {
        return unresolved.isEmpty() ? null : unresolved.iterator().next();
    }

    /** Whether the final state of some dependency is not known. */
    boolean hasUnresolved() {
        return !unresolved.isEmpty();
    }
}
