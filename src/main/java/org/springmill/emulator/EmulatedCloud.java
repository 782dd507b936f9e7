package org.springmill.emulator;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.springmill.emulator.Scenario.MachineGroup;
import org.springmill.protocol.CloudMessages;
import org.springmill.protocol.CloudMessages.ListedMachine;
import org.springmill.protocol.CloudMessages.MachinePhase;
import org.springmill.protocol.CloudMessages.MachineType;
import org.springmill.protocol.MalformedMessageException;
import org.springmill.protocol.counterpart.CloudSideMessages;
import org.springmill.protocol.counterpart.CloudSideMessages.Rental;
import org.springmill.protocol.counterpart.KeyValueStoreServerMessages;
import org.springmill.transport.EventLoop;
import org.springmill.transport.HttpHandler.Call;

/**
 * Implements the published cloud protocol: rents, lists and deletes emulated machines, at most as
 * many of each type as the scenario has. The list shows an earlier state, as the scenario's list
 * lag says.
 */
final class EmulatedCloud {
    private static final int LIST_LIMIT = CloudMessages.MAX_LISTED;

    private final EventLoop loop;
    private final Scenario scenario;
    private final Machines machines;
    private final Map<String, MachineGroup> types = new HashMap<>();
    private final Map<String, Integer> free = new HashMap<>();
    private final Map<String, List<String>> namesByRequest = new HashMap<>();
    private final TreeMap<String, Rented> rented = new TreeMap<>();
    private int lastNumber;
    private boolean down;

    /** Creates and destroys the machines that are rented. */
    interface Machines {
        /** Creates a machine that is up after {@code bootSeconds} and returns its address. */
        String create(String name, MachineGroup type, String zone, double bootSeconds);

        void destroy(String name);
    }

    private static final class Rented {
        private final MachineGroup type;
        private final String zone;
        private final String address;
        private final double rentedAt;
        private final double upAt;
        private double deletedAt = Double.POSITIVE_INFINITY;

        Rented(MachineGroup type, String zone, String address, double rentedAt, double upAt) {
            this.type = type;
            this.zone = zone;
            this.address = address;
            this.rentedAt = rentedAt;
            this.upAt = upAt;
        }
    }

    EmulatedCloud(EventLoop loop, Scenario scenario, Machines machines) {
        this.loop = loop;
        this.scenario = scenario;
        this.machines = machines;
        scenario.machines().forEach(group -> types.put(group.type(), group));
    }

    /** Rents the initial machines, already booted and spread evenly over the zones. */
    void rentInitial() {
        List<String> zones = scenario.zoneNames();
        for (MachineGroup group : scenario.machines()) {
            free.put(group.type(), group.number());
            for (int i = 0; i < group.initial(); i++) {
                rent(group, zones.get(i % zones.size()), 0);
            }
        }
    }

    private String rent(MachineGroup group, String zone, double bootSeconds) {
        String name = String.format("host-%06d", ++lastNumber);
        String address = machines.create(name, group, zone, bootSeconds);
        free.merge(group.type(), -1, Integer::sum);
        double now = loop.now();
        rented.put(name, new Rented(group, zone, address, now, now + bootSeconds));
        return name;
    }

    /** From now on every request is answered with 503, or requests are served again. */
    void setDown(boolean isDown) {
        down = isDown;
    }

    void handle(Call call) {
        if (down) {
            call.reply(503, CloudSideMessages.encodeOutage(), 0);
            return;
        }
        try {
            if (call.path().equals(CloudMessages.MACHINE_TYPES_PATH)) {
                call.reply(200, CloudSideMessages.encodeMachineTypes(machineTypes()), 0);
            } else if (call.path().equals(CloudMessages.DELETIONS_PATH)) {
                delete(call, CloudSideMessages.decodeDeletion(call.body()));
            } else if (call.method().equals("POST")) {
                rent(call, CloudSideMessages.decodeRental(call.body()));
            } else {
                list(call);
            }
        } catch (MalformedMessageException e) {
            call.reply(400, KeyValueStoreServerMessages.encodeError(e.getMessage()), 0);
        }
    }

    private List<MachineType> machineTypes() {
        return types.values().stream()
                .map(
                        group ->
                                new MachineType(
                                        group.type(),
                                        group.cpus(),
                                        group.gpus(),
                                        group.memoryGb(),
                                        1000,
                                        group.fetchGbPerSecond(),
                                        group.cpus() + 3 * group.gpus(),
                                        group.cpus() + 3 * group.gpus(),
                                        group.bootSeconds(),
                                        scenario.zoneNames()))
                .toList();
    }

    private void rent(Call call, Rental rental) {
        List<String> earlierNames = namesByRequest.get(rental.request());
        if (earlierNames != null) {
            call.reply(200, CloudSideMessages.encodeRentalResponse(earlierNames), 0);
            return;
        }
        MachineGroup group = types.get(rental.type());
        int count =
                group == null || rental.spot()
                        ? 0
                        : Math.min(rental.count(), free.getOrDefault(group.type(), 0));
        if (count <= 0) {
            call.reply(503, CloudSideMessages.encodeNoCapacity(), 0);
            return;
        }
        List<String> names = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            names.add(rent(group, rental.zone(), group.bootSeconds()));
        }
        namesByRequest.put(rental.request(), names);
        call.reply(200, CloudSideMessages.encodeRentalResponse(names), 0);
    }

    private void delete(Call call, List<String> names) {
        if (names.size() > CloudMessages.MAX_DELETIONS) {
            String error = names.size() + " names; at most " + CloudMessages.MAX_DELETIONS;
            call.reply(400, KeyValueStoreServerMessages.encodeError(error), 0);
            return;
        }
        names.forEach(this::delete);
        call.reply(200, KeyValueStoreServerMessages.encodeRevision(0), 0);
    }

    private void delete(String name) {
        Rented machine = rented.get(name);
        if (machine != null && machine.deletedAt == Double.POSITIVE_INFINITY) {
            machine.deletedAt = loop.now();
            free.merge(machine.type.type(), 1, Integer::sum);
            machines.destroy(name);
        }
    }

    /**
     * Lists the machines as they were one list lag earlier. Machines of {@link #rentInitial} are
     * listed from the beginning.
     */
    private void list(Call call) {
        double asOf = loop.now() - scenario.cloudLimits().listLagSeconds();
        List<ListedMachine> page = new ArrayList<>();
        boolean more = false;
        String after = CloudSideMessages.decodePageStart(call.query());
        for (Map.Entry<String, Rented> entry : rented.tailMap(after, false).entrySet()) {
            Rented machine = entry.getValue();
            boolean initial = machine.upAt == machine.rentedAt;
            if ((machine.rentedAt <= asOf || initial) && machine.deletedAt > asOf) {
                if (page.size() == LIST_LIMIT) {
                    more = true;
                    break;
                }
                page.add(listed(entry.getKey(), machine, asOf));
            }
        }
        call.reply(200, CloudSideMessages.encodeMachinePage(page, more), 0);
    }

    private static ListedMachine listed(String name, Rented machine, double asOf) {
        boolean up = machine.upAt <= asOf || machine.upAt == machine.rentedAt;
        return new ListedMachine(
                name,
                machine.address,
                machine.type.type(),
                machine.zone,
                false,
                up ? MachinePhase.RUNNING : MachinePhase.BOOTING,
                Math.max(0, asOf - machine.rentedAt));
    }
}
