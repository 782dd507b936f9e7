package org.springmill.control.coordination;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.springmill.protocol.CloudMessages.MachineType;
import org.springmill.protocol.Settings;
import org.springmill.protocol.SettingsFixtures;
import org.springmill.protocol.Submission;

/** How many tasks of a class are expected while a machine boots. */
class DemandTest {
    private static final double BOOT_SECONDS = 45;
    private static final double FIRST_ARRIVAL = 100;
    private static final double LAST_ARRIVAL = 295;
    private static final double ARRIVAL_INTERVAL = 5;

    /**
     * A job of one task every 5 s for 200 s, so nine for each boot, and about three more for
     * chance. Arrivals count for three boots, 135 s, whatever the workers' lease: with a window of
     * nine leases room stood ready for minutes after the last job had come.
     */
    @ParameterizedTest(name = "{0}")
    @CsvSource({
        "while jobs arrive,                       295, 13",
        "a boot after the last,                   340, 9",
        "most of the window after the last,       425, 2",
        "the whole window after the last,         431, 0",
    })
    void arrivalsOfThreeBootsCount(String situation, double now, int expected) {
        Demand demand = new Demand(SettingsFixtures.small(), 0);
        Submission job = PackingFixtures.job(1).build();
        for (double at = FIRST_ARRIVAL; at <= LAST_ARRIVAL; at += ARRIVAL_INTERVAL) {
            demand.arrived(job, at, true);
        }
        assertEquals(expected, demand.expected(job.jobClass(), true, BOOT_SECONDS, now), situation);
    }

    /**
     * Room that becomes free while a machine boots is room for what arrives meanwhile; what is kept
     * for chance does not depend on it. Without ends the nine tasks of a boot and three for chance
     * had room kept for them beside the room of those that ended.
     */
    @ParameterizedTest(name = "{0}")
    @CsvSource({
        "nothing ends,                                 true,  0, 13",
        "a third as much ends as arrives,              true,  1, 10",
        "as much ends as arrives,                      true,  3, 4",
        "more ends than arrives,                       true,  6, 4",
        "ends leave no room since images decide,        false, 3, 13",
    })
    void endsLeaveRoomForArrivals(
            String situation, boolean endsLeaveRoom, int endsOfThreeArrivals, int expected) {
        Demand demand = new Demand(SettingsFixtures.small(), 0);
        Submission job = PackingFixtures.job(1).build();
        int arrival = 0;
        for (double at = FIRST_ARRIVAL; at <= LAST_ARRIVAL; at += ARRIVAL_INTERVAL) {
            demand.arrived(job, at, true);
            int ends = endsOfThreeArrivals * (arrival + 1) / 3 - endsOfThreeArrivals * arrival / 3;
            for (int i = 0; i < ends; i++) {
                demand.departed(job, at);
            }
            arrival++;
        }
        assertEquals(
                expected,
                demand.expected(job.jobClass(), endsLeaveRoom, BOOT_SECONDS, LAST_ARRIVAL),
                situation);
    }

    /**
     * A machine fetches at 1 GB/s, give or take a third. With room kept only for arrivals less ends
     * fewer replicas found a machine that holds their image, and where most fetches take longer
     * than the objective allows, they started late.
     */
    @ParameterizedTest(name = "{0}")
    @CsvSource({
        "every fetch is in time,                 10, 6,    false, false",
        "a slow fetch is late,                   10, 9,    true,  false",
        "as many fetches are late as in time,    10, 10,   true,  false",
        "only the quickest fetches are in time,  10, 11.2, true,  true",
        "no fetch is in time,                    1,  16,   true,  true",
    })
    void fetchesAreComparedWithTheObjective(
            String situation, double withinSeconds, double gb, boolean slowLate, boolean mostLate) {
        Submission job = PackingFixtures.job(1).imageGb(gb).build();
        Settings.Objective wait =
                new Settings.Objective("wait", job.jobClass(), withinSeconds, 0.9);
        Demand demand = new Demand(SettingsFixtures.with(List.of(wait)), 0);
        demand.arrived(job, 0, false);
        MachineType type = PackingFixtures.type("large", 10, "a");
        assertEquals(slowLate, demand.boundToImages(type), situation);
        assertEquals(mostLate, demand.areMostFetchesLate(type), situation);
    }
}
