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
final class JobDependencies {
    private static final Logger LOG = LoggerFactory.getLogger(JobDependencies.class);

    private final Map<String, JobRecord> jobs;
    private final Map<String, List<String>> dependents = new HashMap<>();

    /** Ids of jobs whose cancellation is derived and not yet in their own records. */
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
            addToDependents(stored);
        }
        pendingPersistence.remove(stored.id());
        List<JobRecord> changed = new ArrayList<>();
        put(inEffect(stored), changed);
        // What has changed is also the list of what is still to be looked at.
        for (int next = 0; next < changed.size(); next++) {
            if (changed.get(next).cancelled()) {
                cancelDependents(changed.get(next), changed);
            }
        }
        return changed;
    }

    private void addToDependents(JobRecord job) {
        for (String needed : job.submission().dependencies()) {
            dependents.computeIfAbsent(needed, id -> new ArrayList<>(2)).add(job.id());
        }
    }

    private JobRecord inEffect(JobRecord stored) {
        JobRecord cause = stored.cancelled() ? null : cancelledDependency(stored.submission());
        return cause == null ? stored : cancelledWith(stored, cause);
    }

    private void cancelDependents(JobRecord cancelled, List<JobRecord> changed) {
        for (String id : dependents(cancelled.id())) {
            JobRecord dependent = jobs.get(id);
            if (!dependent.cancelled()) {
                put(cancelledWith(dependent, cancelled), changed);
            }
        }
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

    /** Why a job cannot wait for its dependencies, as far as is known here; null if it can. */
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

    /** Ids of the direct dependents of a job. */
    Collection<String> dependents(String id) {
        return dependents.getOrDefault(id, List.of());
    }

    /** Jobs whose derived cancellation is to be written down, the longest known first. */
    List<JobRecord> pendingPersistence(int most) {
        return pendingPersistence.stream().limit(most).map(jobs::get).toList();
    }

    /** Leaves records unwritten until a newer version of them is learned. */
    void abandonPersistence(List<JobRecord> records) {
        records.forEach(job -> pendingPersistence.remove(job.id()));
    }
}
