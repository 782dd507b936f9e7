package org.springmill.sim;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.springmill.transport.HttpClient.Reply;
import org.springmill.transport.HttpClient.Request;

/** A simulated cloud: one small and one large machine type in two zones. */
public final class SimCloud {
    private static final ObjectMapper JSON = new ObjectMapper();
    static final double BOOT_SECONDS = 20;
    private static final int MAX_RENTED_AT_ONCE = 50;
    private static final int MAX_DELETED_AT_ONCE = 100;
    private static final int MAX_LISTED = 500;

    /** A machine type as the cloud offers it. */
    record Type(String name, double cpus, double gpus, double memoryGb, double price) {}

    static final Map<String, Type> TYPES =
            Map.of(
                    "small",
                    new Type("small", 4, 0, 16, 0.2),
                    "large",
                    new Type("large", 32, 8, 256, 10));

    private final SimulatedCluster cluster;
    private final Map<String, SimWorker> machines = new LinkedHashMap<>();
    private final Map<String, SimWorker> machinesByAddress = new HashMap<>();
    private final Map<String, ArrayNode> rentals = new HashMap<>();
    private final Map<String, Double> rentedAt = new HashMap<>();
    private final Map<String, Double> bootSecondsByZone = new HashMap<>();
    private int machinesAdded;
    private boolean reusingAddresses;
    private final Deque<String> freedAddresses = new ArrayDeque<>();
    private final Set<String> exhaustedZones = new HashSet<>();
    private boolean down;

    /** The list that all requests get while lists are frozen; null while they are not. */
    private ObjectNode frozenList;

    SimCloud(SimulatedCluster cluster) {
        this.cluster = cluster;
    }

    /** From now on new machines get the addresses of machines that are gone. */
    public void reuseAddresses() {
        reusingAddresses = true;
    }

    /** From now on no machine can be rented. */
    public void exhaustCapacity() {
        exhaustedZones.addAll(SimSettings.ZONES);
    }

    /** From now on no machine can be rented in one zone. */
    public void exhaustCapacity(String zone) {
        exhaustedZones.add(zone);
    }

    /** Machines can be rented again. */
    public void restoreCapacity() {
        exhaustedZones.clear();
    }

    /** Sets the boot time of machines that are rented in a zone from now on; infinite for never. */
    public void setBootSeconds(String zone, double seconds) {
        bootSecondsByZone.put(zone, seconds);
    }

    /** The number of machines added so far, including terminated ones. */
    public int everRented() {
        return machinesAdded;
    }

    /** From now on the cloud answers every request with 503, or serves requests again. */
    public void setDown(boolean isDown) {
        down = isDown;
    }

    /** From now on machine lists show the state at this moment. */
    public void freezeMachineList() {
        frozenList = list();
    }

    /** Machine lists show the current state again. */
    public void resumeMachineList() {
        frozenList = null;
    }

    /** Terminates a machine, as the cloud does when it reclaims a spot machine. */
    public void reclaim(SimWorker machine) {
        remove(machine.name());
    }

    private void remove(String name) {
        SimWorker removed = machines.remove(name);
        if (removed != null) {
            machinesByAddress.remove(removed.address());
            removed.destroy();
            if (reusingAddresses) {
                freedAddresses.add(removed.address());
            }
        }
    }

    /** The machine that has an address; null if there is none any more. */
    SimWorker machineAt(String address) {
        return machinesByAddress.get(address);
    }

    public Map<String, SimWorker> machines() {
        return machines;
    }

    SimWorker add(String type, String zone, boolean spot, double bootSeconds) {
        String name = String.format("host-%06d", ++machinesAdded);
        String address =
                freedAddresses.isEmpty()
                        ? "10.1.0." + machinesAdded + ":9000"
                        : freedAddresses.removeFirst();
        SimWorker worker = new SimWorker(cluster, name, address, type, zone, spot);
        machines.put(name, worker);
        rentedAt.put(name, cluster.clock().now());
        machinesByAddress.put(worker.address(), worker);
        if (bootSeconds < Double.POSITIVE_INFINITY) {
            cluster.clock().after(bootSeconds, worker::boot);
        }
        return worker;
    }

    Reply handle(Request request) {
        ObjectNode out = JSON.createObjectNode();
        if (down) {
            return SimKeyValueStore.reply(503, out.put("error", "trouble"));
        }
        if (request.path().equals("/machine_types")) {
            ArrayNode frames = out.putArray("frames");
            type(frames, TYPES.get("small"));
            type(frames, TYPES.get("large"));
            return SimKeyValueStore.reply(200, out);
        }
        JsonNode body = request.body().length == 0 ? null : SimKeyValueStore.parse(request.body());
        if (request.path().equals("/rentals")) {
            return body.path("count").asInt() > MAX_RENTED_AT_ONCE ? malformed() : rent(body);
        }
        if (request.path().equals("/rentals/delete")) {
            if (body.path("stones").size() > MAX_DELETED_AT_ONCE) {
                return malformed();
            }
            for (JsonNode name : body.path("stones")) {
                remove(name.asText());
            }
            return SimKeyValueStore.reply(200, out);
        }
        return SimKeyValueStore.reply(
                200, page(frozenList == null ? list() : frozenList, request.path()));
    }

    private static Reply malformed() {
        return SimKeyValueStore.reply(400, JSON.createObjectNode().put("error", "malformed"));
    }

    /** The part of a list that a request asks for, by its {@code from} and {@code limit}. */
    private static ObjectNode page(ObjectNode list, String path) {
        String from = parameter(path, "from", "");
        int limit = Math.min(MAX_LISTED, Integer.parseInt(parameter(path, "limit", "500")));
        ObjectNode out = JSON.createObjectNode();
        ArrayNode stones = out.putArray("stones");
        for (JsonNode machine : list.path("stones")) {
            boolean after = machine.path("nameId").asText().compareTo(from) > 0;
            if (after && stones.size() == limit) {
                return out.put("truncated", true);
            }
            if (after) {
                stones.add(machine);
            }
        }
        return out.put("truncated", false);
    }

    private static String parameter(String path, String name, String defaultValue) {
        Matcher matcher = Pattern.compile("[?&]" + name + "=([^&]*)").matcher(path);
        return matcher.find() ? matcher.group(1) : defaultValue;
    }

    private ObjectNode list() {
        ObjectNode out = JSON.createObjectNode();
        ArrayNode stones = out.putArray("stones");
        machines.forEach(
                (name, m) ->
                        stones.addObject()
                                .put("nameId", name)
                                .put("addr", m.address())
                                .put("frame", m.type())
                                .put("yard", m.zone())
                                .put("loaner", m.spot())
                                .put("phase", m.up() ? "running" : "starting")
                                .put("heldS", cluster.clock().now() - rentedAt.get(name)));
        return out;
    }

    private Reply rent(JsonNode body) {
        String name = body.path("hire").asText();
        if (!rentals.containsKey(name)) {
            if (exhaustedZones.contains(body.path("yard").asText())) {
                return SimKeyValueStore.reply(
                        503, JSON.createObjectNode().put("error", "no capacity"));
            }
            ArrayNode rented = JSON.createArrayNode();
            double bootSeconds =
                    bootSecondsByZone.getOrDefault(body.path("yard").asText(), BOOT_SECONDS);
            for (int i = 0; i < body.path("count").asInt(); i++) {
                rented.add(
                        add(
                                        body.path("frame").asText(),
                                        body.path("yard").asText(),
                                        body.path("loaner").asBoolean(),
                                        bootSeconds)
                                .name());
            }
            rentals.put(name, rented);
        }
        ObjectNode out = JSON.createObjectNode();
        out.set("stones", rentals.get(name));
        return SimKeyValueStore.reply(200, out);
    }

    private static void type(ArrayNode into, Type type) {
        into.addObject()
                .put("sku", type.name())
                .put("vcpus", type.cpus())
                .put("cards", type.gpus())
                .put("memGb", type.memoryGb())
                .put("localGb", 100.0)
                .put("pullGbPerS", 1.0)
                .put("price", type.price())
                .put("marketPrice", type.price() / 3)
                .put("bootS", BOOT_SECONDS)
                .putArray("yards")
                .add("a")
                .add("b");
    }
}
