package org.springmill.control.autoscaling;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import org.springmill.control.cluster.EquivalenceClass;
import org.springmill.control.cluster.MachineKind;
import org.springmill.control.cluster.ZoneCounts;
import org.springmill.protocol.CloudMessages;
import org.springmill.protocol.CloudMessages.MachineType;
import org.springmill.protocol.Submission;

/**
 * First-fit bin packing of waiting and expected tasks into the free resources of the fleet. Plans
 * further machines for tasks that fit nowhere. One instance serves one plan.
 */
final class DemandPacking {
    /**
     * A plan has no more machines than can be requested at a time. A bound on all machines together
     * would end all scaling out in a fleet that has grown past it.
     */
    private static final int MAX_PLANNED_MACHINES = CloudMessages.MAX_RENTALS * 4;

    /**
     * Per task of the job in a zone: less than any difference in price that matters, so that among
     * equal prices a job's tasks are spread over zones.
     */
    private static final double SURCHARGE_PER_TASK_IN_ZONE = 1e-3;

    /**
     * Per machine in a zone: a tenth of that, so that the spread of the fleet decides only between
     * zones that hold as many tasks of the job.
     */
    private static final double SURCHARGE_PER_MACHINE_IN_ZONE = 1e-4;

    /** More than any machine costs: kinds whose boots fail are the last choice. */
    private static final double SURCHARGE_IF_BOOTS_FAIL = 1e6;

    private final Iterable<MachineType> types;
    private final List<String> zones;
    private final Predicate<MachineKind> available;
    private final Predicate<MachineKind> bootsFailing;
    private final ZoneCounts machinesPerZone;
    private final List<Bin> bins;
    private int plannedMachines;

    /** The first bin that may fit an equivalence class: those before it were found not to. */
    private final Map<EquivalenceClass, Integer> firstOpenBin = new HashMap<>();

    /**
     * @param types all types that the cloud offers
     * @param zones all zones of the deployment
     * @param rentable whether a kind of machine may be requested now
     * @param failing whether machines of a kind fail to boot at present
     * @param machinesPerZone all machines of the fleet
     * @param bins the free resources of the fleet in the order in which they are to be filled;
     *     planned machines are added at the end
     */
    DemandPacking(
            Iterable<MachineType> types,
            List<String> zones,
            Predicate<MachineKind> rentable,
            Predicate<MachineKind> failing,
            ZoneCounts machinesPerZone,
            List<Bin> bins) {
        this.types = types;
        this.zones = zones;
        this.available = rentable;
        this.bootsFailing = failing;
        this.machinesPerZone = machinesPerZone;
        this.bins = bins;
    }

    /** All bins, those of planned machines last. */
    List<Bin> bins() {
        return bins;
    }

    /** The bins of machines that have to be requested. */
    List<Bin> plannedBins() {
        return bins.stream().filter(Bin::isPlanned).toList();
    }

    /** Packs tasks into bins or plans machines for them, as far as some may be requested. */
    void pack(PackingRequest request) {
        // A bin that does not fit one task does not fit the next: each bin is tried once for all.
        int binIndex =
                request.equivalenceClass()
                        .map(shape -> firstOpenBin.getOrDefault(shape, 0))
                        .orElse(0);
        int remaining = request.tasks();
        while (remaining > 0) {
            ZoneCounts tasksPerZone = request.tasksPerZone().get();
            if (binIndex == bins.size() && !plan(request, remaining, tasksPerZone)) {
                break;
            }
            if (pack(request, tasksPerZone, bins.get(binIndex))) {
                remaining--;
            } else {
                binIndex++;
            }
        }
        int firstOpen = binIndex;
        request.equivalenceClass().ifPresent(shape -> firstOpenBin.put(shape, firstOpen));
    }

    /**
     * A job whose tasks have to be in one zone, as if it were allowed only in the zone where most
     * of them fit. Without that, resources in one zone would be counted for the rest of a job whose
     * first tasks go to another.
     *
     * @param tasks how many wait
     */
    Submission inZoneWithMostCapacity(Submission spec, int tasks) {
        Submission best = spec;
        int mostHeld = -1;
        for (String zone : zones) {
            boolean allowed = spec.zone() == null || spec.zone().equals(zone);
            if (!allowed) {
                continue;
            }
            Submission inZone = spec.restrictedToZone(zone);
            int held = bins.stream().mapToInt(bin -> bin.capacityFor(inZone)).sum();
            if (held > mostHeld && (held >= tasks || isAnyKindAvailable(inZone, tasks))) {
                best = inZone;
                mostHeld = held;
            }
        }
        return best;
    }

    private static boolean pack(PackingRequest request, ZoneCounts tasksPerZone, Bin bin) {
        boolean packed =
                !bin.isExcluded(request.excluded()) && bin.pack(request.spec(), tasksPerZone);
        if (packed && request.expected()) {
            bin.recordExpected(request.spec());
        }
        return packed;
    }

    /** Plans one more machine; false if none may be requested for such tasks. */
    private boolean plan(PackingRequest request, int tasks, ZoneCounts tasksPerZone) {
        if (plannedMachines == MAX_PLANNED_MACHINES) {
            return false;
        }
        Optional<MachineKind> kind =
                cheapest(request.spec(), tasks, tasksPerZone, request.maxPriceRatio());
        if (kind.isEmpty()) {
            return false;
        }
        plannedMachines++;
        bins.add(Bin.planned(kind.get()));
        return true;
    }

    private boolean isAnyKindAvailable(Submission spec, int tasks) {
        return cheapest(spec, tasks, new ZoneCounts(), Double.POSITIVE_INFINITY).isPresent();
    }

    /** The kind of machine that runs so many tasks at the least price for each. */
    private Optional<MachineKind> cheapest(
            Submission spec, int tasks, ZoneCounts tasksPerZone, double maxPriceRatio) {
        double maxPrice = maxPriceRatio * PricePerTask.least(types, spec, spec.spot(), tasks);
        Offer best = Offer.NONE;
        for (MachineType type : types) {
            if (!type.fits(spec)) {
                continue;
            }
            int tasksOnMachine = Math.min(tasks, type.tasksPerMachine(spec));
            for (String zone : type.zones()) {
                if (!isZoneOpen(zone, spec, tasksPerZone)) {
                    continue;
                }
                for (MachineKind kind : kinds(type, zone, spec)) {
                    if (kind.price() / tasksOnMachine <= maxPrice) {
                        best = better(best, offer(kind, tasksOnMachine, tasksPerZone));
                    }
                }
            }
        }
        return Optional.ofNullable(best.kind());
    }

    private static List<MachineKind> kinds(MachineType type, String zone, Submission spec) {
        MachineKind ordinary = new MachineKind(type, zone, false);
        return spec.spot()
                ? List.of(new MachineKind(type, zone, true), ordinary)
                : List.of(ordinary);
    }

    private static boolean isZoneOpen(String zone, Submission spec, ZoneCounts tasksPerZone) {
        boolean allowed = spec.zone() == null || spec.zone().equals(zone);
        return allowed && tasksPerZone.count(zone) < spec.maxTasksPerZone();
    }

    private Offer offer(MachineKind kind, int tasksOnMachine, ZoneCounts tasksPerZone) {
        double price =
                kind.price() / tasksOnMachine
                        + SURCHARGE_PER_TASK_IN_ZONE * tasksPerZone.count(kind.zone())
                        + SURCHARGE_PER_MACHINE_IN_ZONE * machinesPerZone.count(kind.zone())
                        + (bootsFailing.test(kind) ? SURCHARGE_IF_BOOTS_FAIL : 0);
        return new Offer(kind, price);
    }

    private Offer better(Offer best, Offer other) {
        return other.price() < best.price() && available.test(other.kind()) ? other : best;
    }

    /** A kind of machine at its price for each task, with the surcharges that spread work. */
    private record Offer(MachineKind kind, double price) {
        private static final Offer NONE = new Offer(null, Double.POSITIVE_INFINITY);
    }
}
