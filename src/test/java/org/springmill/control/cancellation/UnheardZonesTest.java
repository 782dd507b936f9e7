package org.springmill.control.cancellation;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.springmill.protocol.CloudMessages.ListedMachine;
import org.springmill.protocol.CloudMessages.MachinePhase;

class UnheardZonesTest {
    private final List<ListedMachine> listed = new ArrayList<>();
    private final Set<String> heard = new HashSet<>();

    /**
     * Guards against the deletion of machines that are in reach.
     *
     * @param zones the machines of each zone: r is running, b booting, f failed; R is running and
     *     heard
     * @param unheardControllers how many controllers are silent
     * @param expected machines, named by zone and place in it
     */
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "R R R / r r r | 1 | b0 b1 b2",
                "r             | 1 | a0",
                "R R R / R R r | 1 | ''",
                "R R R / R r   | 1 | b1",
                "R R R / r b f | 1 | b0 b1",
                "R R R / b b   | 1 | ''",
                "R R R / r r r | 0 | ''",
                "r r r / r r r | 1 | ''",
                "r r / R R / r | 2 | a0 a1 c0",
                "''            | 1 | ''",
            })
    void atMostAsManyZonesAsControllersAreTakenToBePartitioned(
            String zones, int unheardControllers, String expected) {
        char zone = 'a';
        for (String machines : zones.split(" / ")) {
            addZone(String.valueOf(zone++), machines);
        }
        List<String> machines = UnheardZones.machines(listed, heard, unheardControllers);
        assertEquals(expected, String.join(" ", machines));
    }

    private void addZone(String zone, String machines) {
        for (int place = 0; place < machines.length(); place += 2) {
            String name = zone + place / 2;
            char state = machines.charAt(place);
            listed.add(
                    new ListedMachine(name, name + ":1", "large", zone, false, phase(state), 60));
            if (state == 'R') {
                heard.add(name);
            }
        }
    }

    private static MachinePhase phase(char state) {
        return switch (state) {
            case 'b' -> MachinePhase.BOOTING;
            case 'f' -> MachinePhase.FAILED;
            default -> MachinePhase.RUNNING;
        };
    }
}
