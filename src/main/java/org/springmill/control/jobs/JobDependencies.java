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
 * The dependency graph of all jobs, and the cancellations derived from it. A job is cancelled if
 * its record says so or if any job that it needs is: a pure function of committed records, so every
 * controller tells the same from the moment at which it knows the one write that cancelled the
 * first of them, after any crash and in whatever order the records come.
 *
 * <p>A job of which a dependency is cancelled can never have started. It starts only after the
 * record of every dependency says done; done and cancelled are both written on condition of the
 * version of a record that says neither, so they exclude each other; and what never started is
 * never done, so the same holds for those that need it. Hence a job's own end need not be
 * conditional on any other record, and a late write to a dependent can change nothing.
 *
 * <p>The graph has no cycles, since only accepted jobs can be named. It is walked without
 * recursion, for chains are as deep as users like.
 */
public final class JobDependencies {
    private static final Logger LOG = LoggerFactory.getLogger(JobDependencies.class);

    private final Map<String, JobRecord> jobs;
    private final ArchivedDependencies archived;
    private final Map<String, Set<String>> dependents = new HashMap<>();

    /** Ids of jobs whose cancellation is derived and not yet in their own records. */
    private final Set<String> pendingPersistence = new LinkedHashSet<>();

    /**
     * @param jobs the directory's records as they are in effect; kept up here
     * @param kept the final state of a job whose record has been moved, if it is in memory
     */
    JobDependencies(Map<String, JobRecord> jobs, Function<String, ArchivedJob> kept) {
        this.jobs = jobs;
        archived = new ArchivedDependencies(kept);
    }

    /**
     * Takes in a record as it is stored and returns all that change by it, as they now are in
     * effect, itself first.
     */
    List<JobRecord> merge(JobRecord stored) {
        if (!jobs.containsKey(stored.id())) {
            archived.release(stored.id());
            addToDependents(stored);
        }
        pendingPersistence.remove(stored.id());
        List<JobRecord> changed = new ArrayList<>();
        put(inEffect(stored), changed);
        cancelDependentsOfAll(changed);
        return changed;
    }

    /**
     * Takes in the final state of a job whose record was moved before its dependents' were read.
     * Returns those in which something may follow from it, as they now are in effect.
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
     * Forgets a job whose record has been moved. Records that name it keep its final state; if the
     * record here is an old one, that state is still to be read.
     */
    void evict(String id) {
        JobRecord job = jobs.remove(id);
        if (job == null) {
            return;
        }
        pendingPersistence.remove(id);
        job.submission().dependencies().forEach(needed -> removeDependent(needed, id));
        if (dependents.containsKey(id)) {
            if (job.active()) {
                archived.require(id);
            } else {
                archived.resolve(ArchivedJob.of(job));
            }
        }
    }

    private void removeDependent(String needed, String id) {
        Set<String> others = dependents.get(needed);
        others.remove(id);
        if (others.isEmpty()) {
            dependents.remove(needed);
            archived.release(needed);
        }
    }

    private void addToDependents(JobRecord job) {
        for (String needed : job.submission().dependencies()) {
            dependents.computeIfAbsent(needed, id -> new LinkedHashSet<>(2)).add(job.id());
            if (!jobs.containsKey(needed)) {
                archived.require(needed);
            }
        }
    }

    /**
     * A job that others need, from its record in memory or from its moved one.
     *
     * @param revision of its latest change, and so of its end if it has ended
     */
    private record Dependency(JobPhase phase, boolean service, double endedAt, long revision) {}

    /** Null if neither record is known here. */
    private Dependency dependency(String id) {
        JobRecord job = jobs.get(id);
        if (job != null) {
            return new Dependency(
                    job.phase(), job.submission().service(), job.endedAt(), job.version());
        }
        ArchivedJob gone = archived.of(id);
        return gone == null
                ? null
                : new Dependency(gone.phase(), gone.service(), gone.endedAt(), gone.endRevision());
    }

    private JobRecord inEffect(JobRecord stored) {
        if (stored.cancelled()) {
            return stored;
        }
        for (String id : stored.submission().dependencies()) {
            Dependency needed = dependency(id);
            if (needed != null && needed.phase() == JobPhase.CANCELLED) {
                return cancelledWith(stored, id, needed.endedAt());
            }
        }
        return stored;
    }

    /** What has changed is also the list of what is still to be looked at. */
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
                put(cancelledWith(dependent, cancelled, endedAt), changed);
            }
        }
    }

    private void put(JobRecord job, List<JobRecord> changed) {
        jobs.put(job.id(), job);
        changed.add(job);
    }

    private JobRecord cancelledWith(JobRecord job, String cause, double endedAt) {
        if (job.phase() == JobPhase.DONE) {
            LOG.error("{} is done although {}, which it needs, is cancelled", job.id(), cause);
        } else {
            pendingPersistence.add(job.id());
        }
        return job.ended(JobPhase.CANCELLED, endedAt);
    }

    /** Jobs that a submission names and of which nothing is in memory. */
    public List<String> unknown(Submission submission) {
        return submission.dependencies().stream().filter(id -> dependency(id) == null).toList();
    }

    /** The final state of a job could not be read now; others come first. */
    void postponeUnresolved(String id) {
        archived.postpone(id);
    }

    /** The job whose final state is to be read next, for a record in memory; null if none is. */
    String firstUnresolved() {
        return archived.firstUnresolved();
    }

    /**
     * Whether the state in effect of a job is certain. While the final state of a moved dependency
     * is being read, any job that waits for others may turn out to be cancelled.
     */
    boolean isStatusCertain(JobRecord job) {
        return !job.active()
                || job.submission().dependencies().isEmpty()
                || !archived.hasUnresolved();
    }

    /**
     * Whether some job that names this one has not ended, going by the records that are stored: of
     * those the record here is still needed.
     */
    public boolean hasUnsettledDependents(String id) {
        return dependents(id).stream().anyMatch(this::unsettled);
    }

    /** Whether a job has not ended or its end is not yet in its own record. */
    public boolean unsettled(String id) {
        return jobs.get(id).active() || pendingPersistence.contains(id);
    }

    /** Why a job cannot wait for its dependencies, as far as is known here; null if it can. */
    public String refusal(Submission submission) {
        for (String id : submission.dependencies()) {
            Dependency needed = dependency(id);
            if (needed == null) {
                return "needs " + id + ", which was never accepted";
            }
            if (needed.service()) {
                return "needs " + id + ", a service, which is never done";
            }
        }
        return null;
    }

    /**
     * Whether the records of all that a job needs say done. Only records count: no peer's word and
     * no number of finished tasks. Done is final, so a later leader finds the same.
     */
    public boolean ready(Submission submission) {
        for (String id : submission.dependencies()) {
            Dependency needed = dependency(id);
            if (needed == null || needed.phase() != JobPhase.DONE) {
                return false;
            }
        }
        return true;
    }

    /** Revision at which a ready job became so: that of the last end among what it needs. */
    public long readySince(Submission submission) {
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

    /** Jobs whose derived cancellation is to be written down, the longest known first. */
    public List<JobRecord> pendingPersistence(int most) {
        return pendingPersistence.stream().limit(most).map(jobs::get).toList();
    }

    /** Leaves records unwritten until a newer version of them is learned. */
    public void abandonPersistence(List<JobRecord> records) {
        records.forEach(job -> pendingPersistence.remove(job.id()));
    }
}
