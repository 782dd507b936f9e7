package org.springmill.control.cancellation;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.springmill.protocol.CloudMessages.ListedMachine;
import org.springmill.protocol.CloudMessages.MachinePhase;

/** Finds the machines of zones that seem to be partitioned from all controllers that are heard. */
final class UnheardZones {
    private UnheardZones() {}

    /**
     * The machines of the zones in which at most half of the machines that have booted are heard,
     * without those that are heard. Machines that are listed as booting may run tasks already,
     * since the list lags.
     *
     * @param listed all machines of the cloud's list
     * @param heard names of the machines that the controllers hear
     * @param unheardControllers how many controllers are not heard. Each is in one zone; if more
     *     zones than that are silent, they are not all partitioned, and none is returned
     */
    static List<String> machines(
            Collection<ListedMachine> listed, Set<String> heard, int unheardControllers) {
        Map<String, List<ListedMachine>> machinesByZone =
                listed.stream()
                        .filter(machine -> machine.phase() != MachinePhase.FAILED)
                        .collect(
                                Collectors.groupingBy(
                                        ListedMachine::zone, TreeMap::new, Collectors.toList()));
        machinesByZone.values().removeIf(machines -> !isUnheard(machines, heard));
        if (machinesByZone.size() > unheardControllers) {
            return List.of();
        }
        return machinesByZone.values().stream()
                .flatMap(List::stream)
                .map(ListedMachine::name)
                .filter(name -> !heard.contains(name))
                .toList();
    }

    private static boolean isUnheard(List<ListedMachine> machines, Set<String> heard) {
        List<String> booted =
                machines.stream()
                        .filter(machine -> machine.phase() == MachinePhase.RUNNING)
                        .map(ListedMachine::name)
                        .toList();
        long heardCount = booted.stream().filter(heard::contains).count();
        return !booted.isEmpty() && 2 * heardCount <= booted.size();
    }
}
