package org.springmill.protocol;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;

/** Messages between controllers and the cloud. */
public final class CloudMessages {
    public static final String TYPES = "/machine_types";
    public static final String RENT = "/rentals";
    public static final String RETURN = "/rentals/delete";
    public static final int MAX_RENT = 50;
    public static final int MAX_RETURN = 100;
    public static final int MAX_LIST = 500;

    private CloudMessages() {}

    /** A kind of machine that the cloud offers. */
    public record MachineType(
            String name,
            double cpus,
            double gpus,
            double memoryGb,
            double cacheGb,
            double fetchGbPerS,
            double price,
            double spotPrice,
            double bootS,
            List<String> zones) {

        public boolean fits(Submission job) {
            return job.cpus() <= cpus
                    && job.gpus() <= gpus
                    && job.memoryGb() <= memoryGb
                    && (job.types() == null || job.types().contains(name))
                    && (job.zone() == null || zones.contains(job.zone()));
        }

        /** How many tasks of a job that fits have room on one machine. */
        public int holds(Submission job) {
            double gpuBound = job.gpus() == 0 ? Integer.MAX_VALUE : gpus / job.gpus();
            return (int)
                    Math.max(
                            1,
                            Math.min(
                                    cpus / Math.max(1e-6, job.cpus()),
                                    Math.min(memoryGb / Math.max(1e-6, job.memoryGb()), gpuBound)));
        }

        public double price(boolean spot) {
            return spot ? spotPrice : price;
        }
    }

    /** Where a machine stands in the cloud's list. */
    public enum MachinePhase {
        BOOTING,
        RUNNING,
        FAILED
    }

    public record ListedMachine(
            String name,
            String address,
            String type,
            String zone,
            boolean spot,
            MachinePhase phase,
            double ageS) {}

    /** One page of the cloud's list of machines. */
    public record MachinePage(List<ListedMachine> machines, boolean more) {}

    public static List<MachineType> types(byte[] body) throws BadMessageException {
        List<MachineType> types = new ArrayList<>();
        for (JsonNode t : Json.object(body).path("frames")) {
            types.add(
                    new MachineType(
                            t.path("sku").asText(),
                            t.path("vcpus").asDouble(),
                            t.path("cards").asDouble(),
                            t.path("memGb").asDouble(),
                            t.path("localGb").asDouble(),
                            t.path("pullGbPerS").asDouble(),
                            t.path("price").asDouble(),
                            t.path("marketPrice").asDouble(),
                            t.path("bootS").asDouble(),
                            texts(t.path("yards"))));
        }
        return List.copyOf(types);
    }

    public static byte[] rent(String request, String type, String zone, boolean spot, int count) {
        return Json.write(
                json -> {
                    json.writeStringField("hire", request);
                    json.writeStringField("frame", type);
                    json.writeStringField("yard", zone);
                    json.writeBooleanField("loaner", spot);
                    json.writeNumberField("count", count);
                });
    }

    public static List<String> rented(byte[] body) throws BadMessageException {
        return texts(Json.object(body).path("stones"));
    }

    public static byte[] giveBack(List<String> machines) {
        return Json.write(
                json -> {
                    json.writeArrayFieldStart("stones");
                    for (String machine : machines) {
                        json.writeString(machine);
                    }
                    json.writeEndArray();
                });
    }

    public static String listPath(String after) {
        return RENT + "?" + (after == null ? "" : "from=" + after + "&") + "limit=" + MAX_LIST;
    }

    public static MachinePage list(byte[] body) throws BadMessageException {
        JsonNode json = Json.object(body);
        List<ListedMachine> machines = new ArrayList<>();
        for (JsonNode m : json.path("stones")) {
            machines.add(
                    new ListedMachine(
                            m.path("nameId").asText(),
                            m.path("addr").asText(),
                            m.path("frame").asText(),
                            m.path("yard").asText(),
                            m.path("loaner").asBoolean(),
                            phase(m.path("phase").asText()),
                            m.path("heldS").asDouble()));
        }
        return new MachinePage(machines, json.path("truncated").asBoolean());
    }

    private static MachinePhase phase(String wire) {
        return switch (wire) {
            case "starting" -> MachinePhase.BOOTING;
            case "failed" -> MachinePhase.FAILED;
            default -> MachinePhase.RUNNING;
        };
    }

    private static List<String> texts(JsonNode array) {
        List<String> texts = new ArrayList<>(array.size());
        array.forEach(t -> texts.add(t.asText()));
        return List.copyOf(texts);
    }
}
