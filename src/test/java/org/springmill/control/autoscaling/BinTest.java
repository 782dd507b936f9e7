package org.springmill.control.autoscaling;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.springmill.control.cluster.MachineKind;
import org.springmill.control.cluster.ZoneCounts;

class BinTest {
    private static final MachineKind ON_DEMAND =
            new MachineKind(PackingFixtures.type("g8", 12, "a", "b"), "a", false);
    private static final MachineKind SPOT = new MachineKind(ON_DEMAND.type(), "a", true);

    @ParameterizedTest
    @CsvSource({
        // tasks, cpus, gpus, memory, capacity
        "10, 16, 1, 64, 6",
        "10, 10, 3, 10, 2",
        "10, 0,  0, 300, 2",
        "4,  1,  0, 1, 4",
        "4,  0,  0, 0, 4",
        "1,  97, 0, 1, 0",
    })
    void capacityIsLimitedByScarcestResource(
            int tasks, double cpus, double gpus, double memoryGb, int capacity) {
        Bin bin = Bin.planned(ON_DEMAND);
        assertEquals(
                capacity,
                bin.capacityFor(PackingFixtures.job(tasks).size(cpus, gpus, memoryGb).build()));
    }

    @Test
    void packsTasksUntilFull() {
        Bin bin = Bin.planned(ON_DEMAND);
        var job = PackingFixtures.job(10).size(40, 1, 100).build();
        ZoneCounts tasksPerZone = new ZoneCounts();
        assertTrue(bin.pack(job, tasksPerZone));
        assertTrue(bin.pack(job, tasksPerZone));
        assertFalse(bin.pack(job, tasksPerZone));
        assertEquals(2, tasksPerZone.count("a"));
        assertEquals(16 / 96.0, bin.freeShare(), 1e-9);
        assertEquals(12 * 16 / 96.0, bin.freeCost(), 1e-9);
        assertTrue(bin.isUsed());
    }

    @Test
    void fractionsThatAddUpToWholeMachineFit() {
        Bin bin = Bin.planned(ON_DEMAND);
        var job = PackingFixtures.job(10).size(9.6, 0.8, 76.8).build();
        for (int task = 0; task < 10; task++) {
            assertTrue(bin.pack(job, new ZoneCounts()), "task " + task);
        }
        assertFalse(bin.pack(job, new ZoneCounts()));
    }

    @Test
    void rejectedTaskDoesNotChangeBin() {
        Bin bin = Bin.planned(ON_DEMAND);
        ZoneCounts tasksPerZone = new ZoneCounts();
        assertFalse(bin.pack(PackingFixtures.job(1).zone("b").build(), tasksPerZone));
        assertFalse(bin.pack(PackingFixtures.job(1).size(97, 0, 1).build(), tasksPerZone));
        assertEquals(1, bin.freeShare());
        assertFalse(bin.isUsed());
        assertEquals(0, tasksPerZone.count("a"));
    }

    @Test
    void spotMachineHasCapacityOnlyForJobsThatAllowSpot() {
        assertEquals(0, Bin.planned(SPOT).capacityFor(PackingFixtures.job(1).build()));
        assertEquals(1, Bin.planned(SPOT).capacityFor(PackingFixtures.job(1).spot().build()));
        assertEquals(1, Bin.planned(ON_DEMAND).capacityFor(PackingFixtures.job(1).spot().build()));
    }

    @Test
    void zoneTakesAtMostItsShareOfSpreadJob() {
        Bin bin = Bin.planned(ON_DEMAND);
        var job = PackingFixtures.job(3).spread().build();
        ZoneCounts tasksPerZone = new ZoneCounts();
        assertTrue(bin.pack(job, tasksPerZone));
        assertTrue(bin.pack(job, tasksPerZone));
        assertFalse(bin.pack(job, tasksPerZone));
    }

    @Test
    void kindKeepsLabelWhenPriceChanges() {
        MachineKind moreExpensive =
                new MachineKind(PackingFixtures.type("g8", 15, "a", "b"), "a", false);
        assertEquals(ON_DEMAND.label(), moreExpensive.label());
        assertEquals(List.of("g8/a", "g8/a/spot"), List.of(ON_DEMAND.label(), SPOT.label()));
    }
}
