package org.springmill.control.coordination;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.springmill.control.storage.JobRecord;
import org.springmill.protocol.Submission;
import org.springmill.protocol.UserMessages.Phase;

/**
 * Which job needs which, and what follows from it. A job is cancelled if its record says so or if
 * any job that it needs is: a pure function of committed records, so every controller tells the
 * same from the moment at which it knows the one write that cancelled the first of them, after any
 * crash and in whatever order the records come.
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
final class JobDependencies {
    private static final Logger LOG = LoggerFactory.getLogger(JobDependencies.class);

    private final Map<String, JobRecord> jobs;
    private final Map<String, List<String>> dependents = new HashMap<>();

    /** Cancelled by derivation only; their own records still say otherwise. */
    private final Set<String> pendingPersistence = new LinkedHashSet<>();

    /**
     * @param jobs the directory's records as they are in effect; kept up here
     */
    JobDependencies(Map<String, JobRecord> jobs) {
        this.jobs = jobs;
    }

    /**
     * Takes in a record as it is stored and returns all that change by it, as they now are in
     * effect, itself first.
     */
    List<JobRecord> learn(JobRecord stored) {
        if (!jobs.containsKey(stored.id())) {
            for (String needed : stored.submission().dependencies()) {
                dependents.computeIfAbsent(needed, id -> new ArrayList<>(2)).add(stored.id());
            }
        }
        pendingPersistence.remove(stored.id());
        List<JobRecord> changed = new ArrayList<>();
        JobRecord cause = stored.cancelled() ? null : cancelledDependency(stored.submission());
        put(cause == null ? stored : cancelledWith(stored, cause), changed);
        // The list is what is still to be looked at, too: those that need what has just been found
        // cancelled.
        for (int next = 0; next < changed.size(); next++) {
            JobRecord job = changed.get(next);
            if (job.cancelled()) {
                for (String id : dependents.getOrDefault(job.id(), List.of())) {
                    JobRecord dependent = jobs.get(id);
                    if (!dependent.cancelled()) {
                        put(cancelledWith(dependent, job), changed);
                    }
                }
            }
        }
        return changed;
    }

    private void put(JobRecord job, List<JobRecord> changed) {
        jobs.put(job.id(), job);
        changed.add(job);
    }

    private JobRecord cancelledWith(JobRecord job, JobRecord cause) {
        if (job.phase() == Phase.DONE) {
            LOG.error("{} is done although {}, which it needs, is cancelled", job.id(), cause.id());
        } else {
            pendingPersistence.add(job.id());
        }
        return job.ended(Phase.CANCELLED, cause.endedAt());
    }

    private JobRecord cancelledDependency(Submission submission) {
        for (String id : submission.dependencies()) {
            JobRecord needed = jobs.get(id);
            if (needed != null && needed.cancelled()) {
                return needed;
            }
        }
        return null;
    }

    /** Why a job cannot wait for those that it names, as far as is known here; null if it can. */
    String refusal(Submission submission) {
        for (String id : submission.dependencies()) {
            JobRecord needed = jobs.get(id);
            if (needed == null) {
                return "needs " + id + ", which was never accepted";
            }
            if (needed.submission().service()) {
                return "needs " + id + ", a service, which is never done";
            }
        }
        return null;
    }

    /**
     * Whether the records of all that a job needs say done. Only records count: no peer's word and
     * no number of finished tasks. Done is final, so a later leader finds the same.
     */
    boolean ready(Submission submission) {
        for (String id : submission.dependencies()) {
            JobRecord needed = jobs.get(id);
            if (needed == null || needed.phase() != Phase.DONE) {
                return false;
            }
        }
        return true;
    }

    /** Revision at which a ready job became so: that of the last end among what it needs. */
    long readySince(Submission submission) {
        long since = 0;
        for (String id : submission.dependencies()) {
            since = Math.max(since, jobs.get(id).version());
        }
        return since;
    }

    /** Ids of the jobs that name one directly. */
    Collection<String> dependents(String id) {
        return dependents.getOrDefault(id, List.of());
    }

    /** Some of those cancelled by derivation only, the longest known first. */
    List<JobRecord> pendingPersistence(int most) {
        return pendingPersistence.stream().limit(most).map(jobs::get).toList();
    }

    /** Leaves records as they are; nothing depends on them. */
    void abandonPersistence(List<JobRecord> records) {
        records.forEach(job -> pendingPersistence.remove(job.id()));
    }
}
