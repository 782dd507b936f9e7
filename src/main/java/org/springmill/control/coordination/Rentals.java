package org.springmill.control.coordination;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.springmill.control.storage.RateLimit;
import org.springmill.protocol.BadMessageException;
import org.springmill.protocol.CloudMessages;
import org.springmill.protocol.CloudMessages.ListedMachine;
import org.springmill.protocol.CloudMessages.MachinePage;
import org.springmill.protocol.CloudMessages.MachinePhase;
import org.springmill.protocol.CloudMessages.MachineType;
import org.springmill.protocol.Settings;
import org.springmill.protocol.Submission;
import org.springmill.protocol.WorkerMessages.Cause;
import org.springmill.transport.HttpClient;
import org.springmill.transport.HttpClient.Reply;
import org.springmill.transport.HttpClient.Request;
import org.springmill.transport.Loop;

/**
 * Rents machines for what waits and what is to be expected, and gives back those that nobody needs.
 */
final class Rentals {
    private static final Logger LOG = LoggerFactory.getLogger(Rentals.class);

    private static final double MIN_CHARGE_S = 60;

    /** After so many leases a dark zone is given up. */
    private static final double DARK_LEASES = 10;

    /** A machine with less of it free is not drained. */
    private static final double DRAIN_FREE = 0.5;

    /**
     * This share of the fleet, a rack, may fall silent at once and be taken for dead like single
     * machines.
     */
    private static final double FAILING = 1 / 3.0;

    /**
     * Room for the replicas of such a share may cost this part of what the fleet costs, for each
     * class.
     */
    private static final double INSURANCE = 0.01;

    private static final byte[] EMPTY = new byte[0];

    private final Fleet fleet;
    private final Placement placement;
    private final Demand demand;
    private final Peers peers;
    private final HttpClient http;
    private final Loop loop;
    private final Settings settings;
    private final Timing timing;
    private final Runnable changed;
    private final RateLimit calls;
    private final Map<String, Double> refusedUntil = new HashMap<>();
    private final List<Request> unresolved = new ArrayList<>();
    private final Set<String> darkZones = new HashSet<>();
    private final Map<String, Double> darkAt = new HashMap<>();
    private final List<Machine> toDelete = new ArrayList<>();
    private final double startedAt;
    private double listeningSince;
    private double drainedAt = Double.NEGATIVE_INFINITY;
    private double allHeardAt;
    private double missedAt = Double.NEGATIVE_INFINITY;
    private double listedAt = Double.NEGATIVE_INFINITY;
    private boolean firstTerm;
    private int requests;

    /** Machines that this tick's plan would rent. */
    private int planned;

    private boolean closed;

    /** A machine that is booting, or would be rented, as the packing of demand sees it. */
    private static final class Bin {
        private final MachineType type;
        private final String zone;
        private final boolean spot;

        /** Null for a machine that would be rented. */
        private final Machine machine;

        private double cpus;
        private double gpus;
        private double memory;
        private boolean used;

        private Bin(
                MachineType type,
                String zone,
                boolean spot,
                Machine machine,
                double cpus,
                double gpus,
                double memory) {
            this.type = type;
            this.zone = zone;
            this.spot = spot;
            this.machine = machine;
            this.cpus = cpus;
            this.gpus = gpus;
            this.memory = memory;
        }

        static Bin of(Machine machine) {
            return new Bin(
                    machine.type(),
                    machine.zone(),
                    machine.spot(),
                    machine,
                    machine.freeCpus(),
                    machine.freeGpus(),
                    machine.freeMemory());
        }

        static Bin planned(MachineType type, String zone, boolean spot) {
            return new Bin(type, zone, spot, null, type.cpus(), type.gpus(), type.memoryGb());
        }

        /**
         * Machines with work on them come first, then those that stand idle, then those that are
         * still booting.
         */
        private int rank() {
            return machine.state() != Machine.State.UP ? 2 : machine.attempts().isEmpty() ? 1 : 0;
        }

        /** What giving it back saves, by the hour. */
        private double saves() {
            return type.price(spot) * free();
        }

        /** Share of the machine that is free, by what is scarcest on it. */
        private double free() {
            double share = Math.min(cpus / type.cpus(), memory / type.memoryGb());
            return type.gpus() == 0 ? share : Math.min(share, gpus / type.gpus());
        }

        private boolean suits(Submission spec) {
            return type.fits(spec)
                    && (!spot || spec.spot())
                    && (spec.zone() == null || spec.zone().equals(zone));
        }

        /** How many such tasks find room here. */
        int holds(Submission spec) {
            if (!suits(spec)) {
                return 0;
            }
            double byCpus = spec.cpus() == 0 ? spec.tasks() : (cpus + 1e-6) / spec.cpus();
            double byGpus = spec.gpus() == 0 ? spec.tasks() : (gpus + 1e-6) / spec.gpus();
            double byMemory =
                    spec.memoryGb() == 0 ? spec.tasks() : (memory + 1e-6) / spec.memoryGb();
            return (int) Math.min(spec.tasks(), Math.min(byCpus, Math.min(byGpus, byMemory)));
        }

        boolean take(Submission spec, Map<String, Integer> zones) {
            boolean fits =
                    suits(spec)
                            && spec.cpus() <= cpus + 1e-6
                            && spec.gpus() <= gpus + 1e-6
                            && spec.memoryGb() <= memory + 1e-6
                            && zones.getOrDefault(zone, 0) < spec.perZone();
            if (fits) {
                cpus -= spec.cpus();
                gpus -= spec.gpus();
                memory -= spec.memoryGb();
                used = true;
                zones.merge(zone, 1, Integer::sum);
            }
            return fits;
        }
    }

    Rentals(
            Fleet fleet,
            Placement placement,
            Demand demand,
            Peers peers,
            HttpClient http,
            Loop loop,
            Settings settings,
            Timing timing,
            Runnable changed) {
        this.fleet = fleet;
        this.placement = placement;
        this.demand = demand;
        this.peers = peers;
        this.http = http;
        this.loop = loop;
        this.settings = settings;
        this.timing = timing;
        this.changed = changed;
        this.startedAt = loop.now();
        this.listeningSince = startedAt;
        this.allHeardAt = startedAt;
        this.calls = new RateLimit(settings.cloud().requestsPerS(), loop.now());
    }

    /**
     * @param firstTerm whether no earlier leader can have rented anything
     */
    void start(boolean firstTerm) {
        this.firstTerm = firstTerm;
        list();
    }

    private void list() {
        list(null, new ArrayList<>());
    }

    void close() {
        closed = true;
    }

    /** Tells that for some time nothing was read or done here. */
    void stoodStill() {
        listeningSince = loop.now();
    }

    private double listEveryS() {
        return Math.max(timing.reportS() / 2, 2 / settings.cloud().requestsPerS());
    }

    private void list(String after, List<ListedMachine> found) {
        if (closed) {
            return;
        }
        call(
                "GET",
                CloudMessages.listPath(after),
                EMPTY,
                reply -> {
                    MachinePage page = null;
                    if (reply.ok()) {
                        try {
                            page = CloudMessages.list(reply.body());
                        } catch (BadMessageException e) {
                            LOG.warn("cloud: {}", e.getMessage());
                        }
                    }
                    if (page == null) {
                        loop.after(listEveryS(), this::list);
                        return;
                    }
                    found.addAll(page.machines());
                    if (page.more() && !page.machines().isEmpty()) {
                        list(page.machines().get(page.machines().size() - 1).name(), found);
                        return;
                    }
                    listed(found);
                    loop.after(listEveryS(), this::list);
                });
    }

    private void listed(List<ListedMachine> found) {
        double now = loop.now();
        boolean firstList = listedAt == Double.NEGATIVE_INFINITY;
        listedAt = now;
        for (ListedMachine listed : found) {
            if (fleet.wasDeleted(listed.name())) {
                continue;
            }
            Machine machine = fleet.machine(listed.name());
            machine.listed(now);
            if (machine.type() == null || machine.address().isEmpty()) {
                machine.describe(
                        listed.address(),
                        fleet.catalog().get(listed.type()),
                        listed.zone(),
                        listed.spot());
                if (firstList) {
                    // A new leader's token goes out at once, so that the worker stops obeying the
                    // old one.
                    machine.askAgain = true;
                }
            }
            if (listed.phase() == MachinePhase.FAILED
                    && machine.state() != Machine.State.RETURNING) {
                gone(machine);
                giveBack(machine, "it failed");
            }
        }
        changed.run();
    }

    /** The machine and everything on it are gone. */
    private void gone(Machine machine) {
        for (Attempt attempt : machine.attemptsNow()) {
            fleet.end(attempt, Cause.NONE);
        }
    }

    /**
     * Looks after boots that never end, machines nobody hears of, idle machines, and what has to be
     * rented.
     */
    void tick() {
        if (closed || listedAt == Double.NEGATIVE_INFINITY) {
            return;
        }
        double now = loop.now();
        findDarkZones(now);
        int up = 0;
        int silent = 0;
        for (Machine machine : fleet.machines()) {
            if (!darkZones.contains(machine.zone())) {
                up += machine.state() == Machine.State.UP ? 1 : 0;
                silent += quiet(machine, now) ? 1 : 0;
            }
        }
        boolean fewSilent = silent <= Math.max(1, up * FAILING);
        for (Machine machine : fleet.machinesNow()) {
            if (machine.type() != null) {
                tend(machine, now, fewSilent);
            } else if (!machine.attempts().isEmpty()
                    && listedAt - startedAt > 2 * settings.cloud().listLagS()) {
                // Known from claims alone: an earlier leader gave it up, and ended before that was
                // committed. Without
                // word from every other controller its silence proves nothing, and it has no
                // address to be asked at:
                // its claims stood, and their tasks waited, for as long as one controller was away.
                giveBack(machine, "it is claimed and not listed");
            }
        }
        refusedUntil.values().removeIf(until -> until < now);
        plan(now);
    }

    private void tend(Machine machine, double now, boolean fewSilent) {
        switch (machine.state()) {
            case EXPECTED -> {
                // Once a zone's cut is over its machines are heard one by one, and the last are not
                // dead.
                boolean lately =
                        now - darkAt.getOrDefault(machine.zone(), Double.NEGATIVE_INFINITY)
                                < timing.leaseS();
                if (!lately && asGoodAsDead(machine, now, fewSilent)) {
                    giveBack(machine, "it neither reports nor answers");
                } else if (longInOffice(now) && !lately && !machine.attempts().isEmpty()) {
                    // Its worker never reported to this leader, and with no word from every other
                    // controller its
                    // silence proves nothing: only its deletion does.
                    giveBack(machine, "its worker is not heard of");
                } else if (now - machine.firstSeen()
                        > machine.type().bootS() * settings.operator().bootPatience()) {
                    giveBack(machine, "it never came up");
                }
            }
            case LOST -> {
                if (machine.attempts().isEmpty()) {
                    giveBack(machine, "its worker is silent");
                }
            }
            case UP -> {
                if (asGoodAsDead(machine, now, fewSilent)) {
                    giveBack(machine, "it neither reports nor answers");
                } else if (longInOffice(now)
                        && !darkZones.contains(machine.zone())
                        && !machine.attempts().isEmpty()
                        && machine.isDeaf(now, timing.leaseS())) {
                    // Its reports arrive, and no answer ever does: they renew nothing and prove
                    // nothing, and while they
                    // come it is not silent. What it ran was killed with its lease, and only its
                    // deletion proves that.
                    // One that has only just found its way here is given time to hear: when a
                    // zone's cut is over, all of
                    // its machines come with an older token at first.
                    giveBack(machine, "it does not hear this leader");
                } else if (machine.quarantined() && machine.attempts().isEmpty()) {
                    giveBack(machine, "it fails what it starts");
                } else if (machine.draining() && machine.attempts().isEmpty()) {
                    giveBack(machine, "it was drained");
                }
            }
            default -> {}
        }
    }

    /**
     * Whether a worker that obeyed an earlier leader has had more than its lease to find this one.
     */
    private boolean longInOffice(double now) {
        return now - startedAt > timing.othersS() + 2 * timing.leaseS();
    }

    /**
     * A zone is dark while most of its machines are silent and some controller is, too: it may be
     * cut off and go on working inside, with that controller keeping its workers' leases. What runs
     * there is left alone; deleting the machines, or waiting for leases that do not end, would only
     * stop replicas that are up. Not without end, though.
     */
    private void findDarkZones(double now) {
        Map<String, Integer> expected = new HashMap<>();
        Map<String, Integer> silent = new HashMap<>();
        for (Machine machine : fleet.machines()) {
            if (reporting(machine) && !unlisted(machine)) {
                expected.merge(machine.zone(), 1, Integer::sum);
                silent.merge(machine.zone(), quiet(machine, now) ? 1 : 0, Integer::sum);
            }
        }
        if (peers.allHeard()) {
            allHeardAt = now;
        } else {
            missedAt = now;
        }
        darkZones.clear();
        // Once the cut is over, the workers need a moment to find their way back.
        if (now - missedAt < timing.leaseS() / 2
                && now - allHeardAt < DARK_LEASES * timing.leaseS()) {
            expected.forEach(
                    (zone, count) -> {
                        if (silent.get(zone) > Math.max(1, count / 2)) {
                            darkZones.add(zone);
                            darkAt.put(zone, now);
                        }
                    });
        }
    }

    private static boolean reporting(Machine machine) {
        return machine.state() == Machine.State.UP
                || (machine.state() == Machine.State.EXPECTED && !machine.attempts().isEmpty());
    }

    /**
     * Whether a machine's report is overdue. Well before its silence is acted on: how many are
     * silent together has to show by the time at which the first of them might be deleted.
     */
    private boolean quiet(Machine machine, double now) {
        return quietFor(machine, now) > timing.probeS() && !unlisted(machine);
    }

    /**
     * How long a machine that should report has not. A leader that is new, or that stood still,
     * gives all of them time to find it: one that woke from a pause would else take the whole fleet
     * for dead before it has read a single report.
     */
    private double quietFor(Machine machine, double now) {
        return reporting(machine)
                ? now - Math.max(machine.lastHeard(), listeningSince + timing.silentS() / 2)
                : 0;
    }

    private boolean unlisted(Machine machine) {
        return machine.listedAt() < listedAt
                && listedAt - machine.lastHeard() > 2 * settings.cloud().listLagS();
    }

    /**
     * Deletion proves that what a silent machine ran is gone, well before its lease could. Not when
     * many listed machines are silent at once: this controller may be cut off, or they may. What
     * they run is lost only with their leases, and by then their silence proves it; deleting a
     * fleet that was out of reach for 15 s cost it all it ran.
     */
    private boolean asGoodAsDead(Machine machine, double now, boolean fewSilent) {
        return quietFor(machine, now) > timing.silentS()
                && machine.commandsFailing()
                && !machine.attempts().isEmpty()
                && (unlisted(machine) || (fewSilent && !darkZones.contains(machine.zone())));
    }

    private void plan(double now) {
        planned = 0;
        if (!firstTerm && now - startedAt < settings.cloud().listLagS() * 2) {
            // Machines rented just before a change of leader may not be listed yet.
            return;
        }
        List<Bin> room = new ArrayList<>();
        for (Machine machine : fleet.machines()) {
            if (machine.type() == null
                    || machine.quarantined()
                    || machine.draining()
                    || machine.noticed()) {
                continue;
            }
            boolean there =
                    (machine.state() == Machine.State.EXPECTED
                                    && !darkZones.contains(machine.zone()))
                            || (machine.state() == Machine.State.UP
                                    && machine.takesWork(now, timing.leaseS()));
            if (there) {
                room.add(Bin.of(machine));
            }
        }
        // The fullest first, so that what is free gathers on few machines, and those can be given
        // back.
        room.sort(
                Comparator.comparingInt(Bin::rank)
                        .thenComparingDouble(b -> b.type.price())
                        .thenComparingDouble(Bin::free));
        Map<String, Integer> machinesIn = new HashMap<>();
        fleet.machines().forEach(machine -> machinesIn.merge(machine.zone(), 1, Integer::sum));
        List<Job> waiting = placement.waiting();
        for (Job job : waiting) {
            if (job.machinesFailedOn() > 2) {
                continue;
            }
            int wanted =
                    Math.min(
                            job.waiting(),
                            fleet.clusterState().usage(job.spec().team()).roomFor(job.spec()));
            Map<String, Integer> zones = new HashMap<>();
            for (Attempt attempt : job.attempts()) {
                zones.merge(attempt.machine().zone(), 1, Integer::sum);
            }
            Submission spec =
                    job.spec().oneZone() ? bound(job, wanted, room, machinesIn, now) : job.spec();
            pack(
                    spec,
                    wanted,
                    zones,
                    machine ->
                            job.hasFailedOn(machine.name()) || placement.reservedFrom(job, machine),
                    room,
                    machinesIn,
                    now);
        }
        double bootS = slowestBootS();
        double budget = INSURANCE * fleetCost();
        for (Submission job : demand.urgent(bootS)) {
            int expected = demand.expected(job.jobClass(), bootS, now);
            keepReady(job, expected + insured(job, budget), room, machinesIn, now);
        }
        rent(room);
        returnIdle(room, now);
        if (waiting.isEmpty()) {
            drainOne(room, now);
        }
    }

    /**
     * A job whose tasks have to be together, as if it were allowed only in the zone where they are;
     * if none runs, where most of them find room. Machines were rented for the rest in another
     * zone, which seemed to be room for them.
     */
    private Submission bound(
            Job job, int wanted, List<Bin> room, Map<String, Integer> machinesIn, double now) {
        for (Attempt attempt : job.attempts()) {
            if (!attempt.machine().zone().isEmpty()) {
                return job.spec().inZone(attempt.machine().zone());
            }
        }
        Submission best = job.spec();
        int most = -1;
        for (String zone : settings.zones()) {
            Submission there = job.spec().inZone(zone);
            int holds = room.stream().mapToInt(bin -> bin.holds(there)).sum();
            boolean enough =
                    holds >= wanted
                            || cheapest(there, wanted, new HashMap<>(), machinesIn, now) != null;
            boolean allowed = job.spec().zone() == null || job.spec().zone().equals(zone);
            if (allowed && enough && holds > most) {
                best = there;
                most = holds;
            }
        }
        return best;
    }

    /**
     * How many replicas of a class are to find room should part of the fleet fail at once: as many
     * as the same share of machines would hold that is believed to be dead without further doubt,
     * as far as that costs next to nothing. For large replicas it is none to speak of. Small ones
     * lost with a rack otherwise wait for a boot, behind large ones that take the new machines.
     */
    private int insured(Submission job, double budget) {
        if (!job.service()) {
            return 0;
        }
        int running = 0;
        for (Job other : fleet.clusterState().jobs().values()) {
            running += other.spec().jobClass().equals(job.jobClass()) ? other.liveCount() : 0;
        }
        double each = Double.POSITIVE_INFINITY;
        for (MachineType type : fleet.catalog().all()) {
            if (type.fits(job)) {
                each = Math.min(each, type.price() / type.holds(job));
            }
        }
        return (int) Math.min(running * FAILING, budget / Math.max(1e-6, each));
    }

    /** What all machines cost by the hour. */
    private double fleetCost() {
        double cost = 0;
        for (Machine machine : fleet.machines()) {
            cost += machine.type() == null ? 0 : machine.type().price(machine.spot());
        }
        return cost;
    }

    /**
     * Keeps room for so many tasks of a class; in equal parts in all zones where its jobs have to
     * be spread.
     */
    private void keepReady(
            Submission job,
            int tasks,
            List<Bin> room,
            Map<String, Integer> machinesIn,
            double now) {
        if (!job.spread() || job.zone() != null) {
            pack(job, tasks, null, machine -> false, room, machinesIn, now);
            return;
        }
        List<String> zones = settings.zones();
        for (String zone : zones) {
            int each = (tasks + zones.size() - 1) / zones.size();
            pack(job.inZone(zone), each, null, machine -> false, room, machinesIn, now);
        }
    }

    /**
     * Empties a machine that is mostly free, if what it runs finds room on others that hold the
     * images and neither waiting nor expected work needs it. A move costs a replica a moment, the
     * machine costs as long as it is kept; so the one with most to save goes first, one at a time,
     * and nothing is moved that has just begun.
     */
    private void drainOne(List<Bin> room, double now) {
        boolean calm =
                now - startedAt > 2 * timing.leaseS()
                        && now - drainedAt > 2 * timing.reportS()
                        && room.stream().noneMatch(bin -> bin.machine == null)
                        && fleet.machines().stream()
                                .noneMatch(
                                        m ->
                                                quiet(m, now)
                                                        || (m.draining()
                                                                && !m.attempts().isEmpty()));
        if (!calm) {
            return;
        }
        Bin best = null;
        Map<MachineType, Boolean> bound = new HashMap<>();
        for (Bin bin : room) {
            boolean candidate =
                    !bin.used
                            && bin.free() >= DRAIN_FREE
                            && bin.rank() == 0
                            && (best == null || bin.saves() > best.saves())
                            && !bound.computeIfAbsent(bin.type, demand::boundToImages);
            if (candidate
                    && bin.machine.attempts().stream()
                            .allMatch(
                                    a ->
                                            a.state() == Attempt.State.RUNNING
                                                    && now - a.runningSince()
                                                            > 3 * timing.leaseS())) {
                best = bin;
            }
        }
        if (best == null || !fitsElsewhere(best, room)) {
            return;
        }
        LOG.info("draining {}: {} tasks move", best.machine.name(), best.machine.attempts().size());
        drainedAt = now;
        best.machine.drain();
        best.machine.attemptsNow().forEach(fleet::stopSaving);
    }

    /**
     * Whether everything on a machine finds room in the same zone on machines that hold its images.
     * Fills the bins.
     */
    private static boolean fitsElsewhere(Bin from, List<Bin> room) {
        for (Attempt attempt : from.machine.attempts()) {
            Submission spec = attempt.job().spec();
            boolean found =
                    room.stream()
                            .anyMatch(
                                    bin ->
                                            bin != from
                                                    && bin.rank() == 0
                                                    && bin.zone.equals(from.zone)
                                                    && bin.machine.holdsImage(spec.image())
                                                    && bin.take(spec, new HashMap<>()));
            if (!found) {
                return false;
            }
        }
        return true;
    }

    private double slowestBootS() {
        double slowest = 0;
        for (MachineType type : fleet.catalog().all()) {
            slowest = Math.max(slowest, type.bootS());
        }
        return slowest;
    }

    /**
     * Finds room for so many tasks, or plans a machine for them.
     *
     * @param zones how many tasks of the same job each zone holds; null if they are of different
     *     jobs
     * @param barred machines that are no room for them: where a job failed it is not placed, and it
     *     waited for ever where they were the only ones with room; nor is it where room is kept for
     *     another one
     */
    private void pack(
            Submission spec,
            int tasks,
            Map<String, Integer> zones,
            Predicate<Machine> barred,
            List<Bin> room,
            Map<String, Integer> machinesIn,
            double now) {
        // What has no room for one task has none for the next: each bin is looked at once for all
        // of them.
        int at = 0;
        for (int left = tasks; left > 0; ) {
            Map<String, Integer> taken = zones == null ? new HashMap<>() : zones;
            if (at < room.size()) {
                Bin bin = room.get(at);
                if ((bin.machine == null || !barred.test(bin.machine)) && bin.take(spec, taken)) {
                    left--;
                } else {
                    at++;
                }
                continue;
            }
            // No more than can be asked for at once. A bound on all machines together once ended
            // rentals for good in a
            // fleet that had grown past it.
            Bin bin =
                    planned == CloudMessages.MAX_RENT * 4
                            ? null
                            : cheapest(spec, left, taken, machinesIn, now);
            if (bin == null) {
                return;
            }
            planned++;
            room.add(bin);
        }
    }

    /** The kind of machine that runs so many tasks at the least price. */
    private Bin cheapest(
            Submission spec,
            int tasks,
            Map<String, Integer> zones,
            Map<String, Integer> machinesIn,
            double now) {
        Bin best = null;
        double bestPrice = Double.POSITIVE_INFINITY;
        for (MachineType type : fleet.catalog().all()) {
            if (!type.fits(spec)) {
                continue;
            }
            int used = Math.min(tasks, type.holds(spec));
            for (String zone : type.zones()) {
                if (darkZones.contains(zone)
                        || (spec.zone() != null && !spec.zone().equals(zone))
                        || zones.getOrDefault(zone, 0) >= spec.perZone()) {
                    continue;
                }
                for (boolean spot :
                        spec.spot() ? new boolean[] {true, false} : new boolean[] {false}) {
                    double price =
                            type.price(spot) / used
                                    + 1e-3 * zones.getOrDefault(zone, 0)
                                    + 1e-4 * machinesIn.getOrDefault(zone, 0);
                    if (price < bestPrice
                            && now
                                    >= refusedUntil.getOrDefault(
                                            kind(type.name(), zone, spot), 0.0)) {
                        bestPrice = price;
                        best = Bin.planned(type, zone, spot);
                    }
                }
            }
        }
        return best;
    }

    private static String kind(String type, String zone, boolean spot) {
        return type + '/' + zone + (spot ? "/spot" : "");
    }

    private void rent(List<Bin> room) {
        if (!unresolved.isEmpty()) {
            return;
        }
        Map<String, List<Bin>> kinds = new HashMap<>();
        for (Bin bin : room) {
            if (bin.machine == null) {
                kinds.computeIfAbsent(
                                kind(bin.type.name(), bin.zone, bin.spot), k -> new ArrayList<>())
                        .add(bin);
            }
        }
        for (List<Bin> bins : kinds.values()) {
            Bin like = bins.get(0);
            int count = Math.min(bins.size(), CloudMessages.MAX_RENT);
            // Term and counter: no other leader, nor this one again, ever uses the same name.
            String name = "r-" + fleet.term() + "-" + ++requests;
            LOG.info("renting {} of {}", count, kind(like.type.name(), like.zone, like.spot));
            Request request =
                    request(
                            "POST",
                            CloudMessages.RENT,
                            CloudMessages.rent(
                                    name, like.type.name(), like.zone, like.spot, count));
            unresolved.add(request);
            send(request, reply -> rentAnswered(request, like, count, reply));
        }
    }

    private void rentAnswered(Request request, Bin like, int count, Reply reply) {
        if (closed) {
            return;
        }
        String kind = kind(like.type.name(), like.zone, like.spot);
        if (reply.ok()) {
            unresolved.remove(request);
            try {
                List<String> names = CloudMessages.rented(reply.body());
                for (String name : names) {
                    fleet.machine(name)
                            .describe(
                                    fleet.machine(name).address(), like.type, like.zone, like.spot);
                }
                if (names.size() < count) {
                    refusedUntil.put(kind, loop.now() + like.type.bootS() / 2);
                }
            } catch (BadMessageException e) {
                LOG.warn("cloud: {}", e.getMessage());
            }
        } else if (reply.status() == 503 || reply.status() == 400) {
            unresolved.remove(request);
            refusedUntil.put(kind, loop.now() + like.type.bootS() / 2);
        } else {
            // Without an answer it may have been carried out: the same name again tells which
            // machines it gave.
            loop.after(
                    listEveryS(),
                    () -> {
                        if (!closed) {
                            send(request, again -> rentAnswered(request, like, count, again));
                        }
                    });
        }
    }

    /**
     * Gives back machines that stood idle and of which neither waiting nor expected work needs
     * anything.
     */
    private void returnIdle(List<Bin> room, double now) {
        for (Bin bin : room) {
            Machine machine = bin.machine;
            if (machine == null
                    || bin.used
                    || machine.state() != Machine.State.UP
                    || !machine.attempts().isEmpty()
                    || !machine.reported().isEmpty()) {
                continue;
            }
            if (now - machine.idleSince()
                            >= settings.operator().idleBoots() * machine.type().bootS()
                    && now - machine.firstSeen() >= MIN_CHARGE_S) {
                giveBack(machine, "it is idle");
            }
        }
    }

    /**
     * Deletes a machine; what it ran is proven gone by the cloud's answer, and by nothing before
     * that.
     */
    void giveBack(Machine machine, String why) {
        if (machine.state() == Machine.State.RETURNING || machine.state() == Machine.State.GONE) {
            return;
        }
        LOG.info("giving back {}: {}", machine.name(), why);
        machine.transition(Machine.State.RETURNING);
        delete(machine);
    }

    /**
     * Machines fall silent or idle by the dozen, and the cloud takes few calls: one call for all
     * that are due.
     */
    private void delete(Machine machine) {
        toDelete.add(machine);
        if (toDelete.size() == 1) {
            loop.after(calls.waitFor(1, loop.now()), this::deleteDue);
        }
    }

    private void deleteDue() {
        if (closed) {
            return;
        }
        List<Machine> due =
                new ArrayList<>(
                        toDelete.subList(0, Math.min(toDelete.size(), CloudMessages.MAX_RETURN)));
        toDelete.removeAll(due);
        if (!toDelete.isEmpty()) {
            loop.after(calls.waitFor(2, loop.now()), this::deleteDue);
        }
        call(
                "POST",
                CloudMessages.RETURN,
                CloudMessages.giveBack(due.stream().map(Machine::name).toList()),
                reply -> {
                    if (closed) {
                        return;
                    }
                    if (!reply.ok()) {
                        loop.after(listEveryS(), () -> due.forEach(this::delete));
                        return;
                    }
                    for (Machine machine : due) {
                        fleet.deleted(machine);
                        gone(machine);
                        machine.transition(Machine.State.GONE);
                    }
                    changed.run();
                });
    }

    private Request request(String method, String path, byte[] body) {
        return new Request(settings.cloudAddress(), method, path, body, timing.leaseS() / 3);
    }

    private void call(
            String method, String path, byte[] body, java.util.function.Consumer<Reply> done) {
        send(request(method, path, body), done);
    }

    private void send(Request request, java.util.function.Consumer<Reply> done) {
        double wait = calls.waitFor(1, loop.now());
        calls.take(1, loop.now());
        if (wait > 0) {
            loop.after(wait, () -> http.send(request, done));
        } else {
            http.send(request, done);
        }
    }
}
