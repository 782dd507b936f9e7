package org.springmill.control.coordination;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.function.ToDoubleFunction;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.springmill.control.storage.Claim;
import org.springmill.protocol.Priority;
import org.springmill.protocol.Submission;
import org.springmill.protocol.TaskId;

/** Chooses machines for waiting tasks, and what to stop for those that find none. */
final class Placement {
    private static final Logger LOG = LoggerFactory.getLogger(Placement.class);

    /**
     * So much longer a fetch may take for work that can run on a spot machine to be kept off an
     * ordinary one.
     */
    private static final double ORDINARY_S = 5;

    /** Worth of keeping room whole for one of the largest replicas; less than any fetch. */
    private static final double SLOT_S = 0.6;

    /**
     * Worth of a machine's free room, all of it: among machines that hold the image the fullest is
     * taken, among others the emptiest.
     */
    private static final double ROOM_SECONDS = 0.4;

    /** After so many leases without a place some room is kept for a job. */
    private static final double PATIENCE_LEASES = 4;

    /** So much of the fleet, one machine at least, is kept for such jobs at a time. */
    private static final double RESERVED = 1 / 8.0;

    private final Fleet fleet;
    private final Timing timing;

    /**
     * Since when each job has waited for its first place, or a service for room for all of its
     * replicas.
     */
    private final Map<Job, Double> waitsSince = new HashMap<>();

    /** Machines that run empty for a job that waited too long. */
    private final Map<Machine, Job> reserved = new LinkedHashMap<>();

    private Submission largest;

    /**
     * Machines by what it costs to use them for one job. Using a machine changes the cost of that
     * one, and can only raise that of others in its zone, so each task looks at the few machines on
     * top rather than at all of them: with hundreds of machines, arrays of a hundred tasks took a
     * controller seconds to place.
     */
    private static final class Ranking {
        private record Option(Machine machine, double cost, int order) {}

        private final PriorityQueue<Option> options =
                new PriorityQueue<>(
                        Comparator.comparingDouble(Option::cost).thenComparingInt(Option::order));
        private final ToDoubleFunction<Machine> cost;
        private Option taken;

        /**
         * @param cost infinite where the machine cannot be used
         */
        Ranking(Iterable<Machine> machines, ToDoubleFunction<Machine> cost) {
            this.cost = cost;
            int order = 0;
            for (Machine machine : machines) {
                offer(machine, order++);
            }
        }

        private void offer(Machine machine, int order) {
            double now = cost.applyAsDouble(machine);
            if (now < Double.POSITIVE_INFINITY) {
                options.add(new Option(machine, now, order));
            }
        }

        /** The machine that costs least now; null if there is none. */
        Machine best() {
            if (taken != null) {
                offer(taken.machine(), taken.order());
            }
            for (taken = options.poll(); taken != null; taken = options.poll()) {
                double now = cost.applyAsDouble(taken.machine());
                if (now <= taken.cost()) {
                    return taken.machine();
                }
                if (now < Double.POSITIVE_INFINITY) {
                    options.add(new Option(taken.machine(), now, taken.order()));
                }
            }
            return null;
        }
    }

    Placement(Fleet fleet, Timing timing) {
        this.fleet = fleet;
        this.timing = timing;
    }

    /** Jobs with waiting tasks, in the order in which they are served. */
    List<Job> waiting() {
        List<Job> waiting = new ArrayList<>();
        for (Job job : fleet.clusterState().jobs().values()) {
            if (job.eligible() && job.nextTask() >= 0) {
                waiting.add(job);
            }
        }
        Map<Job, Boolean> guaranteed = new HashMap<>();
        waiting.forEach(job -> guaranteed.put(job, usage(job).guaranteedFor(job.spec())));
        waiting.sort(
                Comparator.comparing(Job::priority)
                        .thenComparing(job -> !guaranteed.get(job))
                        .thenComparing(job -> !job.spec().service())
                        // Less slack first: all look at the same clock, so the time by which a job
                        // has to start tells.
                        .thenComparingDouble(Job::latestStart)
                        .thenComparingLong(Job::arrival));
        return waiting;
    }

    private ClusterState.Usage usage(Job job) {
        return fleet.clusterState().usage(job.spec().team());
    }

    /**
     * Places waiting tasks, at most so many; adds the attempts to the clusterState and returns
     * them.
     */
    List<Attempt> place(long round, int most) {
        double now = fleet.now();
        List<Attempt> placed = new ArrayList<>();
        fleet.clusterState().releaseHeld();
        List<Job> waiting = waiting();
        notePatience(waiting, now);
        if (waiting.isEmpty()) {
            return placed;
        }
        largest = largestReplica();
        List<Machine> open = open(now);
        for (Job job : waiting) {
            if (now < job.notBefore()) {
                continue;
            }
            Ranking ranking = new Ranking(open, machine -> placingCost(job, machine, now));
            if (job.spec().gang()) {
                placeGang(job, ranking, round, most, placed);
                continue;
            }
            while (placed.size() < most && job.nextTask() >= 0 && usage(job).allows(job.spec())) {
                if (!placeNext(job, ranking, round, placed)) {
                    if (job.spec().service()) {
                        usage(job).hold(job.spec(), job.waiting());
                    }
                    reserve(job, open, now);
                    break;
                }
            }
        }
        return placed;
    }

    private static boolean begun(Job job) {
        return !job.spec().service() && job.liveCount() > 0;
    }

    private void notePatience(List<Job> waiting, double now) {
        Set<Job> waits = new HashSet<>(waiting);
        waits.removeIf(Placement::begun);
        waitsSince.keySet().retainAll(waits);
        waits.forEach(job -> waitsSince.putIfAbsent(job, now));
        reserved.entrySet()
                .removeIf(
                        e ->
                                !waits.contains(e.getValue())
                                        || !isOfUse(e.getKey(), e.getValue(), now));
    }

    /**
     * Keeps the machine that should have room soonest from work of no higher priority. Where there
     * is more work than room, what is small takes each piece as it comes free; a task that needs
     * most of a machine never began.
     */
    private void reserve(Job job, List<Machine> open, double now) {
        // Nor for one that fails where it runs: it waits for itself.
        boolean patient =
                begun(job)
                        || job.machinesFailedOn() > 1
                        || now - waitsSince.get(job) < PATIENCE_LEASES * timing.leaseS();
        if (patient
                || reserved.containsValue(job)
                || reserved.size() >= Math.max(1, open.size() * RESERVED)) {
            return;
        }
        Machine best = null;
        double soonest = Double.POSITIVE_INFINITY;
        for (Machine machine : open) {
            double in =
                    eligible(job, machine) && !reserved.containsKey(machine)
                            ? roomIn(job, machine, now)
                            : soonest;
            if (in < soonest) {
                soonest = in;
                best = machine;
            }
        }
        if (best != null) {
            LOG.info("{} waits for its turn: {} is kept for it", job.id(), best.name());
            reserved.put(best, job);
        }
    }

    /**
     * When a machine should have room for a task if nothing else is placed there; never if replicas
     * stand in the way.
     */
    private static double roomIn(Job job, Machine machine, double now) {
        double cpus = machine.freeCpus();
        double gpus = machine.freeGpus();
        double memory = machine.freeMemory();
        List<Attempt> ending = new ArrayList<>();
        for (Attempt attempt : machine.attempts()) {
            if (!attempt.job().spec().service() || attempt.state() == Attempt.State.STOPPING) {
                ending.add(attempt);
            }
        }
        ending.sort(Comparator.comparingDouble(attempt -> endsIn(attempt, now)));
        double in = 0;
        for (Attempt attempt : ending) {
            if (fits(job.spec(), cpus, gpus, memory)) {
                break;
            }
            Submission spec = attempt.job().spec();
            cpus += spec.cpus();
            gpus += spec.gpus();
            memory += spec.memoryGb();
            in = endsIn(attempt, now);
        }
        return fits(job.spec(), cpus, gpus, memory) ? in : Double.POSITIVE_INFINITY;
    }

    private static double endsIn(Attempt attempt, double now) {
        double ran = attempt.state() == Attempt.State.RUNNING ? now - attempt.runningSince() : 0;
        return attempt.state() == Attempt.State.STOPPING
                ? 0
                : Math.max(0, attempt.job().spec().estimateS() - ran);
    }

    /**
     * A machine kept for a job that may not be placed there, or not at all by now, would only stand
     * idle.
     */
    private boolean isOfUse(Machine machine, Job job, double now) {
        return machine.takesWork(now, timing.quietS())
                && eligible(job, machine)
                && now >= job.notBefore()
                && usage(job).allows(job.spec());
    }

    /**
     * Whether a machine is kept for another job, but for work that comes before that one in any
     * case.
     */
    boolean reservedFrom(Job job, Machine machine) {
        Job other = reserved.get(machine);
        if (other == null || other == job || job.priority().above(other.priority())) {
            return false;
        }
        return other.priority().above(job.priority())
                || !usage(job).guaranteedFor(job.spec())
                || usage(other).guaranteedFor(other.spec());
    }

    private boolean placeNext(Job job, Ranking ranking, long round, List<Attempt> placed) {
        Machine machine = ranking.best();
        if (machine == null) {
            return false;
        }
        Claim claim = Claim.decide(new TaskId(job.id(), job.nextTask()), machine.name(), round);
        Attempt attempt = new Attempt(claim, job, machine, fleet.now());
        fleet.clusterState().add(attempt);
        machine.needsImage(job.spec(), fleet.now());
        placed.add(attempt);
        return true;
    }

    /** A gang is claimed in one round, and only when all of its members find a place. */
    private void placeGang(Job job, Ranking ranking, long round, int most, List<Attempt> placed) {
        if (job.liveCount() > 0 || (!placed.isEmpty() && job.waiting() > most - placed.size())) {
            return;
        }
        List<Attempt> members = new ArrayList<>();
        boolean all = true;
        while (all && job.nextTask() >= 0) {
            all = usage(job).allows(job.spec()) && placeNext(job, ranking, round, members);
        }
        if (all) {
            placed.addAll(members);
        } else {
            members.forEach(attempt -> fleet.clusterState().remove(attempt, fleet.now()));
        }
    }

    private List<Machine> open(double now) {
        List<Machine> open = new ArrayList<>();
        for (Machine machine : fleet.machines()) {
            if (machine.takesWork(now, timing.quietS())) {
                open.add(machine);
            }
        }
        return open;
    }

    private static boolean eligible(Job job, Machine machine) {
        return machine.suits(job.spec())
                && !job.hasFailedOn(machine.name())
                && job.zoneAllows(machine.zone());
    }

    /**
     * A holder of the image first, the fullest of them; then the quickest fetch, and among equals
     * the one with most free room.
     */
    private double placingCost(Job job, Machine machine, double now) {
        return machine.hasRoom(job.spec())
                        && eligible(job, machine)
                        && !machine.keptFrom(job, now)
                        && !reservedFrom(job, machine)
                ? score(job, machine, now)
                : Double.POSITIVE_INFINITY;
    }

    private double score(Job job, Machine machine, double now) {
        Submission spec = job.spec();
        double score = machine.fetchS(spec, now);
        // Late reports are the first sign of trouble.
        if (now - machine.lastHeard() > timing.reportS() * 1.3) {
            score += 10;
        }
        if (spec.spot() && !machine.spot() && !usesStrandedCpus(spec, machine, largest)) {
            // Ordinary machines are for those that have no other choice; they run out first.
            score += ORDINARY_S;
        }
        if (spec.service() && spec.tasks() > 1) {
            score += job.inZone(machine.zone()) * 0.5;
        }
        if (largest != null) {
            score +=
                    SLOT_S
                            * (slots(machine, 0, 0, 0)
                                    - slots(machine, spec.cpus(), spec.gpus(), spec.memoryGb()));
        }
        // Full machines leave others empty, and only empty ones can be returned.
        double room = roomShare(machine) * ROOM_SECONDS;
        return machine.holdsImage(spec.image()) ? score + room : score - room;
    }

    /**
     * Whether a task without GPUs takes only what the free GPUs of a machine leave over, going by
     * the largest replica: no replica could use it, and the machine is kept for its GPU tasks in
     * any case. Such room on an ordinary machine costs less than a spot machine's, and a job does
     * not lose it without notice.
     */
    static boolean usesStrandedCpus(Submission spec, Machine machine, Submission largest) {
        if (largest == null || largest.gpus() == 0 || spec.gpus() > 0) {
            return false;
        }
        boolean runsGpuTasks = machine.freeGpus() < machine.type().gpus();
        if (!runsGpuTasks) {
            return false;
        }
        double replicas = machine.freeGpus() / largest.gpus();
        return machine.freeCpus() - spec.cpus() >= replicas * largest.cpus()
                && machine.freeMemory() - spec.memoryGb() >= replicas * largest.memoryGb();
    }

    /**
     * The replica that is hardest to place: room for it should not be broken up by smaller work.
     */
    private Submission largestReplica() {
        Submission found = null;
        for (Job job : fleet.clusterState().jobs().values()) {
            Submission spec = job.spec();
            boolean larger =
                    found == null
                            || spec.gpus() > found.gpus()
                            || (spec.gpus() == found.gpus() && spec.cpus() > found.cpus());
            if (job.eligible() && spec.service() && larger) {
                found = spec;
            }
        }
        return found;
    }

    /** How many of the largest replicas fit a machine once so much more of it is taken. */
    private int slots(Machine machine, double cpus, double gpus, double memory) {
        if (!machine.suits(largest)) {
            return 0;
        }
        double byCpus =
                largest.cpus() == 0 ? 1e6 : (machine.freeCpus() - cpus + 1e-6) / largest.cpus();
        double byGpus =
                largest.gpus() == 0 ? 1e6 : (machine.freeGpus() - gpus + 1e-6) / largest.gpus();
        double byMemory =
                largest.memoryGb() == 0
                        ? 1e6
                        : (machine.freeMemory() - memory + 1e-6) / largest.memoryGb();
        return (int) Math.max(0, Math.floor(Math.min(byCpus, Math.min(byGpus, byMemory))));
    }

    private static double roomShare(Machine machine) {
        double cpus = machine.freeCpus() / Math.max(1e-6, machine.type().cpus());
        return machine.type().gpus() == 0
                ? cpus
                : Math.min(cpus, machine.freeGpus() / machine.type().gpus());
    }

    /** Stops work of lower right where a waiting job finds no place otherwise. */
    void preempt() {
        double now = fleet.now();
        List<Job> waiting = waiting();
        waiting.removeIf(job -> now < job.notBefore());
        if (waiting.stream().noneMatch(this::mayStopAny)) {
            return;
        }
        List<Machine> open = open(now);
        Map<Machine, double[]> promised = new HashMap<>();
        fleet.clusterState().releaseHeld();
        for (Job job : waiting) {
            // By the same measure as placement: tasks gave way, without end, to a job whose part of
            // its team's limit was
            // held for an earlier one.
            int wanted = Math.min(job.waiting(), usage(job).roomBesideHeld(job.spec()));
            if (job.spec().service() && wanted > 0) {
                usage(job).hold(job.spec(), job.waiting());
            }
            if (!mayStopAny(job)) {
                continue;
            }
            int guaranteed = usage(job).guaranteedRoomFor(job.spec());
            int[] made = new int[1];
            Ranking ranking =
                    new Ranking(
                            open,
                            machine ->
                                    eligible(job, machine)
                                            ? victims(
                                                    job,
                                                    made[0] < guaranteed,
                                                    machine,
                                                    promised.get(machine),
                                                    new ArrayList<>(),
                                                    now)
                                            : Double.POSITIVE_INFINITY);
            for (; made[0] < wanted; made[0]++) {
                Machine machine = ranking.best();
                if (machine == null) {
                    break;
                }
                makeRoom(job, made[0] < guaranteed, machine, promised, now);
            }
        }
    }

    /** Whether anything at all may be stopped for a job: most find at a glance that nothing may. */
    private boolean mayStopAny(Job job) {
        return fleet.clusterState().runsBelow(job.priority())
                || (usage(job).guaranteedFor(job.spec())
                        && fleet.clusterState().otherAboveGuarantee(job.spec().team()));
    }

    /** Frees room for one task, unless enough is being freed already. */
    private void makeRoom(
            Job job,
            boolean guaranteed,
            Machine machine,
            Map<Machine, double[]> promised,
            double now) {
        List<Attempt> victims = new ArrayList<>();
        victims(job, guaranteed, machine, promised.get(machine), victims, now);
        double[] taken = promised.computeIfAbsent(machine, m -> new double[3]);
        taken[0] += job.spec().cpus();
        taken[1] += job.spec().gpus();
        taken[2] += job.spec().memoryGb();
        double savingS = 0;
        for (Attempt victim : victims) {
            Submission spec = victim.job().spec();
            savingS = Math.max(savingS, spec.saveS());
            LOG.debug(
                    "{} of {} gives way to {} of {} on {}",
                    victim.claim().task(),
                    spec.team(),
                    job.id(),
                    job.spec().team(),
                    machine.name());
            fleet.stopSaving(victim);
        }
        machine.keepFor(job, now + savingS + timing.reportS());
    }

    /** Cost of making room on one machine; infinite if it cannot be done. */
    private double victims(
            Job job,
            boolean guaranteed,
            Machine machine,
            double[] promised,
            List<Attempt> victims,
            double now) {
        double cpus = machine.freeCpus() - (promised == null ? 0 : promised[0]);
        double gpus = machine.freeGpus() - (promised == null ? 0 : promised[1]);
        double memory = machine.freeMemory() - (promised == null ? 0 : promised[2]);
        List<Attempt> candidates = new ArrayList<>();
        for (Attempt attempt : machine.attempts()) {
            Submission spec = attempt.job().spec();
            if (attempt.state() == Attempt.State.STOPPING
                    || attempt.state() == Attempt.State.ENDED) {
                cpus += spec.cpus();
                gpus += spec.gpus();
                memory += spec.memoryGb();
            } else if (attempt.state() != Attempt.State.CLAIMING) {
                candidates.add(attempt);
            }
        }
        candidates.sort(
                Comparator.comparing((Attempt a) -> a.job().priority())
                        .reversed()
                        .thenComparingDouble(a -> lostWork(a, now)));
        double cost = 0;
        for (Attempt victim : candidates) {
            if (fits(job.spec(), cpus, gpus, memory)) {
                break;
            }
            if (!mayStop(victim, job, guaranteed, victims)) {
                continue;
            }
            Submission spec = victim.job().spec();
            cpus += spec.cpus();
            gpus += spec.gpus();
            memory += spec.memoryGb();
            victims.add(victim);
            cost += 10 + lostWork(victim, now);
        }
        return fits(job.spec(), cpus, gpus, memory)
                ? cost + score(job, machine, now)
                : Double.POSITIVE_INFINITY;
    }

    private static boolean fits(Submission spec, double cpus, double gpus, double memory) {
        return spec.cpus() <= cpus + 1e-6
                && spec.gpus() <= gpus + 1e-6
                && spec.memoryGb() <= memory + 1e-6;
    }

    private static double lostWork(Attempt attempt, double now) {
        Submission spec = attempt.job().spec();
        double ran = attempt.state() == Attempt.State.RUNNING ? now - attempt.runningSince() : 0;
        return spec.checkpoints() ? Math.min(ran, spec.saveS()) : ran;
    }

    /**
     * The protocol's grounds for stopping one job's task for another's. For a guarantee only what a
     * team runs in excess of its own is stopped, counting what is being stopped already, and
     * nothing of a higher priority: else the team that gave way was itself owed its guarantee, or
     * stood first in line again, and the two stopped each other's tasks several times a second.
     */
    private boolean mayStop(Attempt victim, Job job, boolean guaranteed, List<Attempt> before) {
        Submission loser = victim.job().spec();
        Priority right = job.priority();
        if (right.above(victim.job().priority())) {
            return true;
        }
        if (!guaranteed
                || loser.team().equals(job.spec().team())
                || victim.job().priority().above(right)) {
            return false;
        }
        double cpus = loser.cpus();
        double gpus = loser.gpus();
        for (Attempt other : before) {
            if (other.job().spec().team().equals(loser.team())) {
                cpus += other.job().spec().cpus();
                gpus += other.job().spec().gpus();
            }
        }
        return usage(victim.job()).exceedsGuaranteeWithout(cpus, gpus);
    }
}
