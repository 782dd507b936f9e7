package org.springmill.control.jobs;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.springmill.control.storage.ArchivedJob;
import org.springmill.control.storage.JobRecord;
import org.springmill.protocol.Submission;
import org.springmill.protocol.UserMessages.JobPhase;

/**
 * The DAG of all job dependencies, and the cancellations derived from it. A job is cancelled if its
 * record says so or any dependency is cancelled. This is a pure function of committed records, so
 * all controllers agree once they have read the write that cancelled the first job, after any crash
 * and for any order in which the records arrive.
 *
 * <p>A job with a cancelled dependency can never have started: it starts only after the records of
 * all dependencies are done. Done and cancelled are both written by compare-and-swap on a record
 * that is neither, so a job is never both. A job that never started is never done, so the same
 * holds for its dependents. Therefore the write of a job's end does not depend on the records of
 * other jobs, and a late write to a dependent changes nothing.
 *
 * <p>The graph has no cycles, since only accepted jobs can be dependencies. It is walked without
 * recursion, since users may submit chains of any depth.
 */
public final class JobDependencies {
    private static final Logger LOG = LoggerFactory.getLogger(JobDependencies.class);

    private final Map<String, JobRecord> jobs;
    private final ArchivedDependencies archived;
    private final Map<String, Set<String>> dependents = new HashMap<>();

    /** Ids of jobs whose cancellation is derived but not yet stored in their own records. */
    private final Set<String> pendingPersistence = new LinkedHashSet<>();

    /**
     * @param jobs the directory's records with derived cancellations applied; updated here
     * @param archivedInMemory returns the final state of an archived job if in memory, else null
     */
    JobDependencies(Map<String, JobRecord> jobs, Function<String, ArchivedJob> archivedInMemory) {
        this.jobs = jobs;
        archived = new ArchivedDependencies(archivedInMemory);
    }

    /**
     * Merges a stored record. Returns all records that change as a result, with derived
     * cancellations applied, starting with the record itself.
     */
    List<JobRecord> merge(JobRecord stored) {
        if (!jobs.containsKey(stored.id())) {
            archived.release(stored.id());
            addToDependents(stored);
        }
        pendingPersistence.remove(stored.id());
        List<JobRecord> changed = new ArrayList<>();
        put(withDerivedCancellation(stored), changed);
        cancelDependentsOfAll(changed);
        return changed;
    }

    /**
     * Merges the final state of a job that was archived before the records of its dependents were
     * read. Returns the dependents that may be affected, with derived cancellations applied.
     */
    List<JobRecord> mergeArchived(ArchivedJob job) {
        if (jobs.containsKey(job.id()) || !dependents.containsKey(job.id())) {
            return List.of();
        }
        archived.resolve(job);
        List<JobRecord> changed = new ArrayList<>();
        if (job.cancelled()) {
            cancelDependents(job.id(), job.endedAt(), changed);
            cancelDependentsOfAll(changed);
        } else {
            dependents(job.id()).forEach(id -> changed.add(jobs.get(id)));
        }
        return changed;
    }

    /**
     * Evicts an archived job. Its final state stays in memory while it has dependents. If its
     * record in memory is still active, the final state has to be looked up.
     */
    void evict(String id) {
        JobRecord job = jobs.remove(id);
        if (job == null) {
            return;
        }
        pendingPersistence.remove(id);
        job.submission().dependencies().forEach(dependency -> removeDependent(dependency, id));
        if (dependents.containsKey(id)) {
            if (job.active()) {
                archived.require(id);
            } else {
                archived.resolve(ArchivedJob.of(job));
            }
        }
    }

    private void removeDependent(String dependency, String id) {
        Set<String> others = dependents.get(dependency);
        others.remove(id);
        if (others.isEmpty()) {
            dependents.remove(dependency);
            archived.release(dependency);
        }
    }

    private void addToDependents(JobRecord job) {
        for (String dependency : job.submission().dependencies()) {
            dependents.computeIfAbsent(dependency, id -> new LinkedHashSet<>(2)).add(job.id());
            if (!jobs.containsKey(dependency)) {
                archived.require(dependency);
            }
        }
    }

    /**
     * The state of a job as its dependents need it, from its record in memory or archived state.
     *
     * @param endedAt time of day in seconds
     * @param revision of its latest change, which is its end if it has ended
     */
    private record Dependency(JobPhase phase, boolean service, double endedAt, long revision) {}

    /** The state of a job; null if neither its record nor its archived state is in memory. */
    private Dependency dependency(String id) {
        JobRecord job = jobs.get(id);
        if (job != null) {
            return new Dependency(
                    job.phase(), job.submission().isService(), job.endedAt(), job.version());
        }
        ArchivedJob archivedJob = archived.of(id);
        return archivedJob == null
                ? null
                : new Dependency(
                        archivedJob.phase(),
                        archivedJob.service(),
                        archivedJob.endedAt(),
                        archivedJob.endRevision());
    }

    private JobRecord withDerivedCancellation(JobRecord stored) {
        if (stored.cancelled()) {
            return stored;
        }
        for (String id : stored.submission().dependencies()) {
            Dependency dependency = dependency(id);
            if (dependency != null && dependency.phase() == JobPhase.CANCELLED) {
                return cancelledByDependency(stored, id, dependency.endedAt());
            }
        }
        return stored;
    }

    /** The list of changed records is also the work list: each record may cancel its dependents. */
    private void cancelDependentsOfAll(List<JobRecord> changed) {
        for (int next = 0; next < changed.size(); next++) {
            JobRecord job = changed.get(next);
            if (job.cancelled()) {
                cancelDependents(job.id(), job.endedAt(), changed);
            }
        }
    }

    private void cancelDependents(String cancelled, double endedAt, List<JobRecord> changed) {
        for (String id : dependents(cancelled)) {
            JobRecord dependent = jobs.get(id);
            if (!dependent.cancelled()) {
                put(cancelledByDependency(dependent, cancelled, endedAt), changed);
            }
        }
    }

    private void put(JobRecord job, List<JobRecord> changed) {
        jobs.put(job.id(), job);
        changed.add(job);
    }

    private JobRecord cancelledByDependency(JobRecord job, String cause, double endedAt) {
        if (job.phase() == JobPhase.DONE) {
            LOG.error("{} is done, but its dependency {} is cancelled", job.id(), cause);
        } else {
            pendingPersistence.add(job.id());
        }
        return job.ended(JobPhase.CANCELLED, endedAt);
    }

    /** Ids of a submission's dependencies that have neither record nor archived state in memory. */
    public List<String> unknownDependencies(Submission submission) {
        return submission.dependencies().stream().filter(id -> dependency(id) == null).toList();
    }

    /** Moves a job whose final state could not be read to the end of the lookup queue. */
    void postponeUnresolved(String id) {
        archived.postpone(id);
    }

    /** The archived dependency whose final state is to be looked up next; null if none. */
    String firstUnresolved() {
        return archived.firstUnresolved();
    }

    /**
     * Whether the state of a job is certain. While the final state of an archived dependency is
     * being looked up, any job with dependencies may turn out to be cancelled.
     */
    boolean isStatusCertain(JobRecord job) {
        return !job.active()
                || job.submission().dependencies().isEmpty()
                || !archived.hasUnresolved();
    }

    /**
     * Whether some dependent is unsettled (see {@link #isUnsettled}), so that this job's record is
     * still needed.
     */
    public boolean hasUnsettledDependents(String id) {
        return dependents(id).stream().anyMatch(this::isUnsettled);
    }

    /** Whether a job has not ended, or its end is not yet stored in its own record. */
    public boolean isUnsettled(String id) {
        return jobs.get(id).active() || pendingPersistence.contains(id);
    }

    /** The reason why a submission's dependencies are invalid, as sent to users; null if valid. */
    public String rejectionReason(Submission submission) {
        for (String id : submission.dependencies()) {
            Dependency dependency = dependency(id);
            if (dependency == null) {
                return "needs " + id + ", which was never accepted";
            }
            if (dependency.service()) {
                return "needs " + id + ", a service, which is never done";
            }
        }
        return null;
    }

    /**
     * Whether all dependencies are done according to their records. Messages of peers and counts of
     * finished tasks are not considered. Done is final, so a later leader gets the same result.
     */
    public boolean isReady(Submission submission) {
        for (String id : submission.dependencies()) {
            Dependency dependency = dependency(id);
            if (dependency == null || dependency.phase() != JobPhase.DONE) {
                return false;
            }
        }
        return true;
    }

    /** Revision at which a ready job became ready, which is the end of its last dependency. */
    public long readySinceRevision(Submission submission) {
        long since = 0;
        for (String id : submission.dependencies()) {
            since = Math.max(since, dependency(id).revision());
        }
        return since;
    }

    /** Ids of the direct dependents of a job. */
    public Collection<String> dependents(String id) {
        return dependents.getOrDefault(id, Set.of());
    }

    /** The oldest records whose derived cancellation is not yet stored, up to a maximum number. */
    public List<JobRecord> pendingPersistence(int maxRecords) {
        return pendingPersistence.stream().limit(maxRecords).map(jobs::get).toList();
    }

    /** Stops persisting these records until a newer version of them is merged. */
    public void abandonPersistence(List<JobRecord> records) {
        records.forEach(job -> pendingPersistence.remove(job.id()));
    }
}
