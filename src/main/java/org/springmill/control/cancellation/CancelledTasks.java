package org.springmill.control.cancellation;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.springmill.protocol.PeerMessages.PendingCancellation;

/** The machines on which tasks of cancelled jobs may still be, as far as this controller knows. */
final class CancelledTasks {
    private final Map<String, Entry> entriesByJob = new HashMap<>();

    /** The machines of one job; none are left once all of its tasks have ended. */
    private static final class Entry {
        private final Set<String> machines = new TreeSet<>();
        private double knownSince;
        private double confirmedAt;

        Entry(double knownSince) {
            this.knownSince = knownSince;
        }
    }

    /** Whether the machines of a cancelled job are known, even if there are none. */
    boolean knows(String job) {
        return entriesByJob.containsKey(job);
    }

    /** Replaces the machines of a job. Its age counts from the first time. */
    void set(String job, Collection<String> machines, double now) {
        Entry entry = entriesByJob.computeIfAbsent(job, id -> new Entry(now));
        entry.machines.clear();
        entry.machines.addAll(machines);
        entry.confirmedAt = now;
    }

    /** Adds machines of a job. */
    void add(String job, Collection<String> machines, double now) {
        entriesByJob.computeIfAbsent(job, id -> new Entry(now)).machines.addAll(machines);
    }

    /** Whether the machines of a job that is known here were set since a time. */
    boolean isConfirmedSince(String job, double time) {
        return entriesByJob.get(job).confirmedAt >= time;
    }

    /** Records that a job that is known here was cancelled at a time or before. */
    void cancelledBy(String job, double time) {
        Entry entry = entriesByJob.get(job);
        entry.knownSince = Math.min(entry.knownSince, time);
    }

    /** The cancelled jobs of which tasks may still be on machines. */
    List<PendingCancellation> pending(double now) {
        List<PendingCancellation> pending = new ArrayList<>();
        entriesByJob.forEach(
                (job, entry) -> {
                    if (!entry.machines.isEmpty()) {
                        pending.add(new PendingCancellation(job, now - entry.knownSince));
                    }
                });
        return pending;
    }

    /** The machines of a job, in the order of their names. */
    List<String> machinesOf(String job) {
        Entry entry = entriesByJob.get(job);
        return entry == null ? List.of() : List.copyOf(entry.machines);
    }

    /** The jobs with machines that have been known since before a time. */
    List<String> jobsWithMachinesSince(double time) {
        List<String> jobs = new ArrayList<>();
        entriesByJob.forEach(
                (job, entry) -> {
                    if (entry.knownSince < time && !entry.machines.isEmpty()) {
                        jobs.add(job);
                    }
                });
        return jobs;
    }

    /**
     * Removes machines that are deleted.
     *
     * @return the jobs that had tasks there
     */
    List<String> removeMachines(Collection<String> deleted) {
        List<String> changed = new ArrayList<>();
        entriesByJob.forEach(
                (job, entry) -> {
                    if (entry.machines.removeAll(deleted)) {
                        changed.add(job);
                    }
                });
        return changed;
    }

    /** Forgets a job. */
    void forget(String job) {
        entriesByJob.remove(job);
    }

    /** Forgets the jobs without machines that have been known since before a time. */
    void forgetEndedSince(double time) {
        entriesByJob
                .values()
                .removeIf(entry -> entry.machines.isEmpty() && entry.knownSince < time);
    }
}
