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
 * additional machines for tasks that do not fit. Each plan uses a new instance.
 */
final class DemandPacking {
    /**
     * Limits the machines of one plan to a few full requests. The fleet as a whole has no limit,
     * because a fleet that has grown past it could never scale out.
     */
    private static final int MAX_PLANNED_MACHINES = CloudMessages.MAX_RENTALS * 4;

    /**
     * Surcharge per task of the job in a zone. It is smaller than any price difference that
     * matters, so it only spreads a job's tasks over zones of equal price.
     */
    private static final double SURCHARGE_PER_TASK_IN_ZONE = 1e-3;

    /**
     * Surcharge per machine in a zone. It is a tenth of the surcharge per task, so that spreading
     * the job comes before spreading the fleet.
     */
    private static final double SURCHARGE_PER_MACHINE_IN_ZONE = 1e-4;

    /**
     * Surcharge for kinds whose boots fail: more than any machine costs, so they are the last
     * choice.
     */
    private static final double SURCHARGE_IF_BOOTS_FAIL = 1e6;

    private final Iterable<MachineType> types;
    private final List<String> zones;
    private final Predicate<MachineKind> available;
    private final Predicate<MachineKind> bootsFailing;
    private final ZoneCounts machinesPerZone;
    private final List<Bin> bins;
    private int plannedMachines;

    /** Index of the first bin that may fit tasks of a class; earlier bins were found not to. */
    private final Map<EquivalenceClass, Integer> firstOpenBin = new HashMap<>();

    /**
     * @param types all types that the cloud offers
     * @param zones all zones of the deployment
     * @param available whether a kind of machine may be requested at present
     * @param bootsFailing whether machines of a kind fail to boot at present
     * @param machinesPerZone the number of machines of the fleet in each zone
     * @param bins the free resources of the fleet in the order in which they are to be filled;
     *     planned machines are added at the end
     */
    DemandPacking(
            Iterable<MachineType> types,
            List<String> zones,
            Predicate<MachineKind> available,
            Predicate<MachineKind> bootsFailing,
            ZoneCounts machinesPerZone,
            List<Bin> bins) {
        this.types = types;
        this.zones = zones;
        this.available = available;
        this.bootsFailing = bootsFailing;
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

    /**
     * Packs tasks into bins, and plans machines for those that do not fit while any may be
     * requested.
     */
    void pack(PackingRequest request) {
        // All tasks have the same size, so a bin that does not fit one of them is not tried again.
        int binIndex =
                request.equivalenceClass()
                        .map(equivalenceClass -> firstOpenBin.getOrDefault(equivalenceClass, 0))
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
        request.equivalenceClass()
                .ifPresent(equivalenceClass -> firstOpenBin.put(equivalenceClass, firstOpen));
    }

    /**
     * Restricts a job whose tasks must share a zone to the zone where most of them fit. Otherwise
     * its tasks could be packed into resources of different zones.
     *
     * @param tasks the number of waiting tasks
     */
    Submission inZoneWithMostCapacity(Submission spec, int tasks) {
        Submission best = spec;
        int mostCapacity = -1;
        for (String zone : zones) {
            boolean allowed = spec.zone() == null || spec.zone().equals(zone);
            if (!allowed) {
                continue;
            }
            Submission inZone = spec.restrictedToZone(zone);
            int capacity = bins.stream().mapToInt(bin -> bin.capacityFor(inZone)).sum();
            if (capacity > mostCapacity
                    && (capacity >= tasks || isAnyKindAvailable(inZone, tasks))) {
                best = inZone;
                mostCapacity = capacity;
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

    /** Plans one more machine; returns false if none may be requested for these tasks. */
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

    /** The available kind of machine with the lowest price per task, if it runs up to this many. */
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
        MachineKind onDemand = new MachineKind(type, zone, false);
        return spec.spot()
                ? List.of(new MachineKind(type, zone, true), onDemand)
                : List.of(onDemand);
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

    /** A kind of machine with its price per task, surcharges included. */
    private record Offer(MachineKind kind, double price) {
        private static final Offer NONE = new Offer(null, Double.POSITIVE_INFINITY);
    }
}
