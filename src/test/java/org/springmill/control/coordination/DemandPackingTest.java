package org.springmill.control.coordination;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.function.Predicate;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.springmill.protocol.CloudMessages.MachineType;
import org.springmill.protocol.Submission;

/** A small type of machine in zones a and b, and one of the same size, but dearer, in c as well. */
class DemandPackingTest {
    private static final MachineType CHEAP = PackingFixtures.type("cheap", 12, "a", "b");
    private static final MachineType DEAR = PackingFixtures.type("dear", 13, "a", "b", "c");

    private final ZoneCounts machinesPerZone = new ZoneCounts();
    private List<Bin> bins;

    @BeforeEach
    void oneRentedMachineInZoneA() {
        Machine machine = new Machine("host-000001", 1, 0);
        machine.describe("", CHEAP, "a", false);
        machinesPerZone.add("a");
        bins = new ArrayList<>(List.of(Bin.of(machine)));
    }

    private DemandPacking packing(Predicate<MachineKind> rentable) {
        return new DemandPacking(
                List.of(CHEAP, DEAR), List.of("a", "b", "c"), rentable, machinesPerZone, bins);
    }

    private List<String> plannedFor(Submission job, Predicate<MachineKind> rentable) {
        DemandPacking packing = packing(rentable);
        packing.pack(PackingRequest.ofJob(job, job.tasks(), new ZoneCounts(), machine -> false));
        return packing.plannedBins().stream().map(bin -> bin.kind().label()).toList();
    }

    @Test
    void whatIsFreeIsFilledBeforeAnythingIsPlanned() {
        assertEquals(
                List.of(),
                plannedFor(PackingFixtures.job(2).size(48, 0, 1).build(), Objects::nonNull));
    }

    @Test
    void theCheapestMachineIsPlannedInTheEmptiestZone() {
        assertEquals(
                List.of("cheap/b"),
                plannedFor(PackingFixtures.job(2).size(96, 0, 1).build(), Objects::nonNull));
    }

    @Test
    void spotIsPlannedWhereTheJobAllowsIt() {
        assertEquals(
                List.of("cheap/b/spot"),
                plannedFor(PackingFixtures.job(2).size(96, 0, 1).spot().build(), Objects::nonNull));
    }

    @Test
    void theNextBestKindIsPlannedWhereTheCheapestIsNotRentable() {
        assertEquals(
                List.of("dear/b"),
                plannedFor(
                        PackingFixtures.job(2).size(96, 0, 1).build(),
                        kind -> !kind.type().equals(CHEAP)));
    }

    @Test
    void nothingIsPlannedWhereNoKindIsRentable() {
        assertEquals(
                List.of(),
                plannedFor(PackingFixtures.job(2).size(96, 0, 1).build(), kind -> false));
    }

    @Test
    void aSpreadJobIsPlannedInMoreThanOneZone() {
        assertEquals(
                List.of("cheap/b", "cheap/b", "cheap/a"),
                plannedFor(
                        PackingFixtures.job(4).size(96, 0, 1).spread().build(), Objects::nonNull));
    }

    @Test
    void anExcludedMachineIsNoRoom() {
        DemandPacking packing = packing(Objects::nonNull);
        Submission job = PackingFixtures.job(1).size(1, 0, 1).build();
        packing.pack(PackingRequest.ofJob(job, 1, new ZoneCounts(), machine -> true));
        assertEquals(1, packing.plannedBins().size());
    }

    @Test
    void aPlanRentsNoMoreThanCanBeAskedForAtOnce() {
        DemandPacking packing = packing(Objects::nonNull);
        Submission job = PackingFixtures.job(1000).size(96, 0, 1).build();
        packing.pack(PackingRequest.ofExpected(job, 1000));
        assertEquals(200, packing.plannedBins().size());
    }

    @Test
    void tasksThatBelongTogetherGoWhereMostOfThemFindRoom() {
        Submission small = PackingFixtures.job(2).size(48, 0, 1).build();
        assertEquals("a", packing(Objects::nonNull).inZoneWithMostRoom(small, 2).zone());
    }

    @Test
    void tasksThatBelongTogetherGoWhereTheRestCanBeRented() {
        Submission large = PackingFixtures.job(4).size(48, 0, 1).build();
        Predicate<MachineKind> onlyInC = kind -> kind.zone().equals("c");
        assertEquals("c", packing(onlyInC).inZoneWithMostRoom(large, 4).zone());
    }

    @Test
    void tasksThatBelongTogetherKeepToTheJobsOwnZone() {
        Submission bound = PackingFixtures.job(2).size(48, 0, 1).zone("b").build();
        assertEquals("b", packing(Objects::nonNull).inZoneWithMostRoom(bound, 2).zone());
    }
}
