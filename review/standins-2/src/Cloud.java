import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The cloud of PROTOCOL-springmill.md: rents, lists and deletes stand-in machines. */
final class Cloud {
    /** One machine type; all zones of the site offer it. */
    record Type(
            String sku,
            double vcpus,
            double cards,
            double memGb,
            double localGb,
            double pullGbPerS,
            double price,
            double bootS) {}

    private static final class Machine {
        final Type type;
        final String yard;
        final boolean loaner;
        final double rentedAt;
        final double upAt;
        final boolean initial;
        String addr = "";
        Worker worker;
        double goneAt = Double.POSITIVE_INFINITY;

        Machine(Type type, String yard, boolean loaner, double upAt, boolean initial) {
            this.type = type;
            this.yard = yard;
            this.loaner = loaner;
            this.rentedAt = Kit.time();
            this.upAt = upAt;
            this.initial = initial;
        }
    }

    private final Site site;
    private final double lagS;
    private final int most;
    private final Map<String, Type> types = new LinkedHashMap<>();
    private final TreeMap<String, Machine> machines = new TreeMap<>();
    private final Map<String, JsonNode> answersByHire = new LinkedHashMap<>();
    private int lastNumber;
    private boolean down;

    Cloud(Site site, List<Type> offered, double lagS, int most) {
        this.site = site;
        this.lagS = lagS;
        this.most = most;
        offered.forEach(type -> types.put(type.sku(), type));
    }

    synchronized void down(boolean on) {
        down = on;
        Kit.record("cloud is " + (on ? "down" : "up"));
    }

    /** Adds a machine; it is up after the given seconds. */
    synchronized String rent(String sku, String yard, boolean loaner, double bootS, boolean initial)
            throws Exception {
        String name = String.format("host-%06d", ++lastNumber);
        Machine machine =
                new Machine(types.get(sku), yard, loaner, Kit.time() + bootS, initial);
        machine.worker = new Worker(site, name, machine.type, yard, loaner);
        machine.addr = machine.worker.addr();
        machines.put(name, machine);
        Kit.record("machine " + name + " (" + sku + ", " + yard + ") rented");
        Kit.POOL.submit(
                () -> {
                    Kit.sleep(bootS);
                    machine.worker.start();
                });
        return name;
    }

    synchronized Worker worker(String name) {
        return machines.get(name).worker;
    }

    synchronized List<Worker> workers() {
        List<Worker> found = new ArrayList<>();
        machines.values().forEach(machine -> found.add(machine.worker));
        return found;
    }

    void handle(HttpExchange call) throws Exception {
        byte[] body = call.getRequestBody().readAllBytes();
        Kit.reply(
                call,
                answer(
                        call.getRequestMethod(),
                        call.getRequestURI().getPath(),
                        call.getRequestURI().getRawQuery(),
                        body));
    }

    private synchronized Kit.Answer answer(String method, String path, String query, byte[] body)
            throws Exception {
        if (down) {
            return new Kit.Answer(503, Kit.object().put("error", "trouble"));
        }
        if (path.equals("/machine_types")) {
            return new Kit.Answer(200, machineTypes());
        }
        if (path.equals("/rentals/delete")) {
            for (JsonNode name : Kit.parse(body).path("stones")) {
                delete(name.asText());
            }
            return new Kit.Answer(200, Kit.object());
        }
        if (method.equals("POST")) {
            return rental(Kit.parse(body));
        }
        return list(query == null ? "" : query);
    }

    private JsonNode machineTypes() {
        ObjectNode json = Kit.object();
        ArrayNode frames = json.putArray("frames");
        for (Type type : types.values()) {
            ObjectNode frame =
                    frames.addObject()
                            .put("sku", type.sku())
                            .put("vcpus", type.vcpus())
                            .put("cards", type.cards())
                            .put("memGb", type.memGb())
                            .put("localGb", type.localGb())
                            .put("pullGbPerS", type.pullGbPerS())
                            .put("price", type.price())
                            .put("marketPrice", type.price() * 0.4)
                            .put("bootS", type.bootS());
            ArrayNode yards = frame.putArray("yards");
            site.zones().forEach(yards::add);
        }
        return json;
    }

    private Kit.Answer rental(JsonNode json) throws Exception {
        String hire = json.path("hire").asText();
        if (answersByHire.containsKey(hire)) {
            return new Kit.Answer(200, answersByHire.get(hire));
        }
        Type type = types.get(json.path("frame").asText());
        long held = machines.values().stream().filter(m -> m.goneAt > Kit.time()).count();
        int count = (int) Math.min(json.path("count").asInt(), most - held);
        if (type == null || count <= 0) {
            return new Kit.Answer(503, Kit.object().put("error", "no capacity"));
        }
        ObjectNode answer = Kit.object();
        ArrayNode stones = answer.putArray("stones");
        for (int i = 0; i < count; i++) {
            stones.add(
                    rent(
                            type.sku(),
                            json.path("yard").asText(),
                            json.path("loaner").asBoolean(),
                            type.bootS(),
                            false));
        }
        answersByHire.put(hire, answer);
        return new Kit.Answer(200, answer);
    }

    private void delete(String name) {
        Machine machine = machines.get(name);
        if (machine != null && machine.goneAt == Double.POSITIVE_INFINITY) {
            machine.goneAt = Kit.time();
            Kit.record("machine " + name + " deleted by request");
            machine.worker.destroy();
        }
    }

    private Kit.Answer list(String query) {
        String from = "";
        for (String pair : query.split("&")) {
            if (pair.startsWith("from=")) {
                from = pair.substring(5);
            }
        }
        double asOf = Kit.time() - lagS;
        ObjectNode json = Kit.object();
        ArrayNode stones = json.putArray("stones");
        for (Map.Entry<String, Machine> entry : machines.tailMap(from, false).entrySet()) {
            Machine machine = entry.getValue();
            if ((machine.rentedAt <= asOf || machine.initial) && machine.goneAt > asOf) {
                stones.addObject()
                        .put("nameId", entry.getKey())
                        .put("addr", machine.addr)
                        .put("frame", machine.type.sku())
                        .put("yard", machine.yard)
                        .put("loaner", machine.loaner)
                        .put(
                                "phase",
                                machine.upAt <= asOf || machine.initial ? "running" : "starting")
                        .put("heldS", Math.max(0, asOf - machine.rentedAt));
            }
        }
        json.put("truncated", false);
        return new Kit.Answer(200, json);
    }
}
