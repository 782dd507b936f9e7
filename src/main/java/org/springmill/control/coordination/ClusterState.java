package org.springmill.control.coordination;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.springmill.protocol.Priority;
import org.springmill.protocol.Settings;
import org.springmill.protocol.Submission;

/**
 * All jobs and attempts that count: everything not proven gone is held against team limits, zones
 * and machines.
 */
final class ClusterState {

    private final Map<String, Job> jobs = new LinkedHashMap<>();
    private final Map<String, Usage> teams = new HashMap<>();
    private final Set<Attempt> ended = new LinkedHashSet<>();
    private final Map<Priority, Integer> attempts = new EnumMap<>(Priority.class);

    /** What a team's attempts take. */
    static final class Usage {
        /** How many tasks a resource allows that is not bounded or not needed. */
        private static final double UNBOUNDED_TASKS = 1e9;

        private final Settings.Team team;
        private double cpus;
        private double gpus;
        private double heldCpus;
        private double heldGpus;
        private double leavingCpus;
        private double leavingGpus;

        Usage(Settings.Team team) {
            this.team = team;
        }

        boolean allows(Submission spec) {
            return team.withinLimit(cpus + heldCpus + spec.cpus(), gpus + heldGpus + spec.gpus());
        }

        /**
         * Keeps part of the limit for replicas that wait for a machine. A later job of the team
         * would otherwise take it for as long as it lives, and the earlier one would find a machine
         * and no limit left.
         */
        void hold(Submission spec, int tasks) {
            heldCpus += spec.cpus() * tasks;
            heldGpus += spec.gpus() * tasks;
        }

        void releaseHeld() {
            heldCpus = 0;
            heldGpus = 0;
        }

        /** Whether the team is guaranteed anything at all. */
        boolean hasGuarantee() {
            return team.hasGuarantee();
        }

        boolean guaranteedFor(Submission spec) {
            return team.withinGuarantee(cpus + spec.cpus(), gpus + spec.gpus());
        }

        /**
         * Whether the team runs above its guarantee, so that it may have to give something back.
         */
        boolean aboveGuarantee() {
            return team.hasGuarantee() ? exceedsGuaranteeWithout(0, 0) : runsAnything();
        }

        private boolean runsAnything() {
            return cpus - leavingCpus > Resources.ROUNDING
                    || gpus - leavingGpus > Resources.ROUNDING;
        }

        /**
         * Whether it would still have all of its guarantee if so much more of what it runs were
         * stopped. A team without a guarantee has all of it in any case.
         */
        boolean exceedsGuaranteeWithout(double lessCpus, double lessGpus) {
            return !team.hasGuarantee()
                    || (team.cpus() > 0
                            && cpus - leavingCpus - lessCpus > team.cpus() - Resources.ROUNDING)
                    || (team.gpus() > 0
                            && gpus - leavingGpus - lessGpus > team.gpus() - Resources.ROUNDING);
        }

        private void leaving(Submission spec, int sign) {
            leavingCpus += sign * spec.cpus();
            leavingGpus += sign * spec.gpus();
        }

        int roomFor(Submission spec) {
            return room(spec, team.cpusMax(), team.gpusMax(), cpus, gpus);
        }

        /** How many tasks the limit allows beside what is kept for others. */
        int roomBesideHeld(Submission spec) {
            return room(spec, team.cpusMax(), team.gpusMax(), cpus + heldCpus, gpus + heldGpus);
        }

        int guaranteedRoomFor(Submission spec) {
            return team.hasGuarantee() ? room(spec, team.cpus(), team.gpus(), cpus, gpus) : 0;
        }

        private static int room(
                Submission spec,
                double cpuBound,
                double gpuBound,
                double usedCpus,
                double usedGpus) {
            double byCpus =
                    cpuBound == 0 || spec.cpus() == 0
                            ? UNBOUNDED_TASKS
                            : (cpuBound - usedCpus + Resources.ROUNDING) / spec.cpus();
            double byGpus =
                    gpuBound == 0 || spec.gpus() == 0
                            ? UNBOUNDED_TASKS
                            : (gpuBound - usedGpus + Resources.ROUNDING) / spec.gpus();
            return (int) Math.max(0, Math.floor(Math.min(byCpus, byGpus)));
        }
    }

    ClusterState(Settings settings) {

        settings.teams().forEach(team -> teams.put(team.name(), new Usage(team)));
    }

    Map<String, Job> jobs() {
        return jobs;
    }

    Job job(String id) {
        return jobs.get(id);
    }

    void add(Job job) {
        jobs.put(job.id(), job);
    }

    /** Gives a job the place that follows from those that need it. */
    void rank(Job job, Priority priority, double latestStart) {
        attempts.merge(job.priority(), -job.liveCount(), Integer::sum);
        job.rank(priority, latestStart);
        attempts.merge(job.priority(), job.liveCount(), Integer::sum);
    }

    void dropJob(Job job) {
        jobs.remove(job.id());
    }

    /**
     * A job of a team that has since left the settings may run nothing new, and what it runs is
     * still counted.
     */
    Usage usage(String team) {
        return teams.computeIfAbsent(
                team, name -> new Usage(new Settings.Team(name, 0, 1e-9, 0, 1e-9)));
    }

    void add(Attempt attempt) {
        attempt.job().add(attempt);
        attempt.machine().add(attempt);
        charge(attempt, 1);
    }

    /** Takes an attempt out: its end is committed, or its claim never was to be. */
    void remove(Attempt attempt, double now) {
        ended.remove(attempt);
        attempt.job().remove(attempt);
        attempt.machine().remove(attempt, now);
        charge(attempt, -1);
        if (attempt.markLeaving(false)) {
            usage(attempt.job().spec().team()).leaving(attempt.job().spec(), -1);
        }
    }

    /** Notes that an attempt was told to stop: it still counts, but gives nothing more back. */
    void noteLeaving(Attempt attempt) {
        if (attempt.markLeaving(true)) {
            usage(attempt.job().spec().team()).leaving(attempt.job().spec(), 1);
        }
    }

    private void charge(Attempt attempt, int sign) {
        Usage usage = usage(attempt.job().spec().team());
        usage.cpus += sign * attempt.job().spec().cpus();
        usage.gpus += sign * attempt.job().spec().gpus();
        attempts.merge(attempt.job().priority(), sign, Integer::sum);
    }

    /** Whether anything of a lower priority holds a place. */
    boolean runsBelow(Priority priority) {
        return attempts.entrySet().stream()
                .anyMatch(e -> e.getValue() > 0 && priority.above(e.getKey()));
    }

    boolean otherAboveGuarantee(String team) {
        return teams.entrySet().stream()
                .anyMatch(e -> !e.getKey().equals(team) && e.getValue().aboveGuarantee());
    }

    void releaseHeld() {
        teams.values().forEach(Usage::releaseHeld);
    }

    void noteEnded(Attempt attempt) {
        ended.add(attempt);
    }

    List<Attempt> takeEnded(int most) {
        List<Attempt> taken = new ArrayList<>();
        for (Attempt attempt : ended) {
            if (taken.size() == most) {
                break;
            }
            taken.add(attempt);
        }
        ended.removeAll(taken);
        return taken;
    }

    /** Attempts known to have ended whose end is not yet committed, the earliest first. */
    Collection<Attempt> ended() {
        return Collections.unmodifiableSet(ended);
    }

    boolean hasEnded() {
        return !ended.isEmpty();
    }
}
