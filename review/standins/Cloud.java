import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.Map;
import java.util.TreeMap;

/** The cloud: one machine type, a fixed set of machines, deletions, no capacity for more. */
final class Cloud {
    private final String types;
    private final Map<String, Worker> machines = new TreeMap<>();

    /**
     * @param zones the zones in which the only type is offered, as a JSON list
     */
    Cloud(String zones) {
        types =
                "{\"frames\":[{\"sku\":\"caravan\",\"vcpus\":48,\"cards\":8,\"memGb\":288,"
                        + "\"localGb\":600,\"pullGbPerS\":4.6,\"price\":23.78,\"marketPrice\":6.99,"
                        + "\"bootS\":35,\"yards\":"
                        + zones
                        + "}]}";
    }

    String start() throws IOException {
        return Http.serve("cloud", this::handle);
    }

    synchronized void add(Worker machine) {
        machines.put(machine.name(), machine);
    }

    private synchronized Http.Reply handle(Http.Request request) throws Exception {
        switch (request.path()) {
            case "/machine_types":
                return new Http.Reply(200, types);
            case "/rentals/delete":
                for (JsonNode name : State.JSON.readTree(request.body()).path("stones")) {
                    Worker machine = machines.remove(name.asText());
                    if (machine != null) {
                        Record.line("cloud: %s deleted", name.asText());
                        machine.destroy();
                    }
                }
                return new Http.Reply(200, "{}");
            case "/rentals":
                return request.method().equals("POST")
                        ? new Http.Reply(503, "{\"error\":\"no capacity\"}")
                        : list(request.parameter("from", ""));
            default:
                return new Http.Reply(400, "{}");
        }
    }

    private Http.Reply list(String after) {
        StringBuilder stones = new StringBuilder();
        for (Worker machine : machines.values()) {
            if (machine.name().compareTo(after) > 0) {
                stones.append(stones.length() == 0 ? "" : ",").append(machine.listed());
            }
        }
        return new Http.Reply(200, "{\"stones\":[" + stones + "],\"truncated\":false}");
    }
}
