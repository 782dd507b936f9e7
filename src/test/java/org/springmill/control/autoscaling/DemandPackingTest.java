package org.springmill.control.autoscaling;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.function.Predicate;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.springmill.control.cluster.EquivalenceClass;
import org.springmill.control.cluster.Job;
import org.springmill.control.cluster.Machine;
import org.springmill.control.cluster.MachineKind;
import org.springmill.control.cluster.ZoneCounts;
import org.springmill.protocol.CloudMessages.MachineType;
import org.springmill.protocol.HeartbeatSize;
import org.springmill.protocol.Resources;
import org.springmill.protocol.Submission;

/**
 * Uses a cheap machine type in zones a and b, and a more expensive one of equal size in a, b and c.
 */
class DemandPackingTest {
    private static final MachineType CHEAP = PackingFixtures.type("cheap", 12, "a", "b");
    private static final MachineType EXPENSIVE =
            PackingFixtures.type("expensive", 13, "a", "b", "c");

    private final ZoneCounts machinesPerZone = new ZoneCounts();
    private List<Bin> bins;

    @BeforeEach
    void addMachineInZoneA() {
        Machine machine = new Machine("host-000001", 1, 0);
        machine.describe("", CHEAP, "a", false);
        machinesPerZone.add("a");
        bins = new ArrayList<>(List.of(Bin.of(machine)));
    }

    private DemandPacking packing(Predicate<MachineKind> available) {
        return packing(available, kind -> false);
    }

    private DemandPacking packing(
            Predicate<MachineKind> available, Predicate<MachineKind> bootsFailing) {
        return new DemandPacking(
                List.of(CHEAP, EXPENSIVE),
                List.of("a", "b", "c"),
                available,
                bootsFailing,
                machinesPerZone,
                bins);
    }

    /** Guards against served: tasks wait for room in heartbeats, and no machine is rented. */
    @Test
    void machinesArePlannedForTasksThatOneHeartbeatCannotList() {
        Submission tiny = PackingFixtures.job(3000).size(0.001, 0, 0.001).build();
        int planned = plannedFor(tiny, kind -> kind.type().equals(CHEAP)).size();
        int perMachine = HeartbeatSize.MAX_TASK_BYTES / HeartbeatSize.maxBytes(tiny);
        assertEquals((int) Math.ceil(3000.0 / perMachine) - 1, planned);
        assertEquals(perMachine, CHEAP.tasksPerMachine(tiny));
    }

    private List<String> plannedFor(Submission job, Predicate<MachineKind> available) {
        DemandPacking packing = packing(available);
        packing.pack(PackingRequest.ofJob(job, job.tasks(), new ZoneCounts(), machine -> false));
        return packing.plannedBins().stream().map(bin -> bin.kind().label()).toList();
    }

    @Test
    void freeResourcesAreFilledBeforeMachinesArePlanned() {
        assertEquals(
                List.of(),
                plannedFor(PackingFixtures.job(2).size(48, 0, 1).build(), Objects::nonNull));
    }

    @Test
    void cheapestMachineIsPlannedInEmptiestZone() {
        assertEquals(
                List.of("cheap/b"),
                plannedFor(PackingFixtures.job(2).size(96, 0, 1).build(), Objects::nonNull));
    }

    @Test
    void spotMachineIsPlannedIfJobAllowsSpot() {
        assertEquals(
                List.of("cheap/b/spot"),
                plannedFor(PackingFixtures.job(2).size(96, 0, 1).spot().build(), Objects::nonNull));
    }

    @Test
    void nextCheapestKindIsPlannedIfCheapestIsUnavailable() {
        assertEquals(
                List.of("expensive/b"),
                plannedFor(
                        PackingFixtures.job(2).size(96, 0, 1).build(),
                        kind -> !kind.type().equals(CHEAP)));
    }

    @Test
    void nothingIsPlannedIfNoKindIsAvailable() {
        assertEquals(
                List.of(),
                plannedFor(PackingFixtures.job(2).size(96, 0, 1).build(), kind -> false));
    }

    @Test
    void spreadJobIsPlannedInSeveralZones() {
        assertEquals(
                List.of("cheap/b", "cheap/b", "cheap/a"),
                plannedFor(
                        PackingFixtures.job(4).size(96, 0, 1).spread().build(), Objects::nonNull));
    }

    @Test
    void excludedMachineIsNotFilled() {
        DemandPacking packing = packing(Objects::nonNull);
        Submission job = PackingFixtures.job(1).size(1, 0, 1).build();
        packing.pack(PackingRequest.ofJob(job, 1, new ZoneCounts(), machine -> true));
        assertEquals(1, packing.plannedBins().size());
    }

    @Test
    void plannedMachinesAreLimited() {
        DemandPacking packing = packing(Objects::nonNull);
        Submission job = PackingFixtures.job(1000).size(96, 0, 1).build();
        packing.pack(PackingRequest.ofExpected(job, 1000));
        assertEquals(200, packing.plannedBins().size());
    }

    /** Guards against requesting replacements for overdue machines where boots fail. */
    @Test
    void kindWhoseBootsFailIsLastChoice() {
        Submission job = PackingFixtures.job(3).size(96, 0, 1).zone("b").build();
        DemandPacking packing = packing(Objects::nonNull, kind -> kind.label().equals("cheap/b"));
        packing.pack(PackingRequest.ofJob(job, 1, new ZoneCounts(), machine -> false));
        assertEquals("expensive/b", packing.plannedBins().get(0).kind().label());

        addMachineInZoneA();
        packing = packing(kind -> kind.label().equals("cheap/b"), kind -> true);
        packing.pack(PackingRequest.ofJob(job, 1, new ZoneCounts(), machine -> false));
        assertEquals("cheap/b", packing.plannedBins().get(0).kind().label());
    }

    /** Guards against requesting expensive machines for a team without a guaranteed quota. */
    @Test
    void nothingIsPlannedAbovePriceLimitEvenIfNothingCheaperIsAvailable() {
        Submission job = PackingFixtures.job(3).size(96, 0, 1).zone("b").spot().build();
        PackingRequest request = PackingRequest.ofJob(job, 1, new ZoneCounts(), machine -> false);
        DemandPacking packing = packing(kind -> !kind.spot());
        packing.pack(request.withMaxPriceRatio(1.9));
        assertEquals(List.of(), packing.plannedBins());
        packing.pack(request.withMaxPriceRatio(2.1));
        assertEquals("cheap/b", packing.plannedBins().get(0).kind().label());
    }

    /** The next job of an equivalence class starts at the bin where the previous one stopped. */
    @Test
    void jobsOfOneEquivalenceClassFillBinsLikeOneJob() {
        Submission job = PackingFixtures.job(1).size(30, 0, 1).build();
        EquivalenceClass equivalenceClass = EquivalenceClass.of(new Job(job, 1)).get();
        DemandPacking packing = packing(Objects::nonNull);
        for (int i = 0; i < 7; i++) {
            packing.pack(
                    PackingRequest.ofJob(job, 1, new ZoneCounts(), machine -> false)
                            .withEquivalenceClass(equivalenceClass));
        }
        assertEquals(2, packing.plannedBins().size());
    }

    @Test
    void expectedTasksAreRecordedSeparatelyFromWaitingTasks() {
        Submission job = PackingFixtures.job(1).size(10, 0, 1).build();
        DemandPacking packing = packing(Objects::nonNull);
        packing.pack(PackingRequest.ofJob(job, 2, new ZoneCounts(), machine -> false));
        packing.pack(PackingRequest.ofExpected(job, 3));
        assertEquals(
                new Resources(30, 0, 3, 3 * HeartbeatSize.maxBytes(job)), bins.get(0).expected());
    }

    @Test
    void oneZoneJobGoesToZoneWithMostCapacity() {
        Submission small = PackingFixtures.job(2).size(48, 0, 1).build();
        assertEquals("a", packing(Objects::nonNull).inZoneWithMostCapacity(small, 2).zone());
    }

    @Test
    void oneZoneJobGoesToZoneWhereMachinesAreAvailable() {
        Submission large = PackingFixtures.job(4).size(48, 0, 1).build();
        Predicate<MachineKind> onlyInC = kind -> kind.zone().equals("c");
        assertEquals("c", packing(onlyInC).inZoneWithMostCapacity(large, 4).zone());
    }

    @Test
    void oneZoneJobStaysInItsAllowedZone() {
        Submission restricted = PackingFixtures.job(2).size(48, 0, 1).zone("b").build();
        assertEquals("b", packing(Objects::nonNull).inZoneWithMostCapacity(restricted, 2).zone());
    }
}
