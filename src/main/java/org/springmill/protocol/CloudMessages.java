package org.springmill.protocol;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;

/**
 * Messages between controllers and the cloud. The names on the wire stand only in this class;
 * fields that it does not read are ignored.
 */
public final class CloudMessages {
    /** Path that lists the machine types. */
    public static final String MACHINE_TYPES_PATH = "/machine_types";

    /** Path that rents machines (POST) and lists them (GET). */
    public static final String RENTALS_PATH = "/rentals";

    /** Path that deletes machines. */
    public static final String DELETIONS_PATH = "/rentals/delete";

    /** Most machines in one rental request. */
    public static final int MAX_RENTALS = 50;

    /** Most machines in one deletion request. */
    public static final int MAX_DELETIONS = 100;

    /** Most machines on one page of the list. */
    public static final int MAX_LISTED = 500;

    /** Stands for an amount of 0 where one divides by it. */
    private static final double MIN_AMOUNT = 1e-6;

    private CloudMessages() {}

    /**
     * A type of machine that the cloud offers.
     *
     * @param cacheGb room for images
     * @param fetchGbPerSecond rate at which a machine fetches images, shared by all fetches
     * @param price present price of an ordinary machine, per hour
     * @param spotPrice present price of a spot machine, per hour
     * @param bootSeconds nominal boot time in seconds
     * @param zones zones in which the type is offered
     */
    public record MachineType(
            String name,
            double cpus,
            double gpus,
            double memoryGb,
            double cacheGb,
            double fetchGbPerSecond,
            double price,
            double spotPrice,
            double bootSeconds,
            List<String> zones) {

        /** Whether a task of the job may run on an empty machine of this type. */
        public boolean fits(Submission job) {
            return hasResourcesFor(job) && isAllowedBy(job) && isOfferedFor(job);
        }

        private boolean hasResourcesFor(Submission job) {
            return job.cpus() <= cpus && job.gpus() <= gpus && job.memoryGb() <= memoryGb;
        }

        private boolean isAllowedBy(Submission job) {
            return job.types() == null || job.types().contains(name);
        }

        private boolean isOfferedFor(Submission job) {
            return job.zone() == null || zones.contains(job.zone());
        }

        /** How many tasks of a job that fits have room on one machine. */
        public int holds(Submission job) {
            double byCpus = cpus / Math.max(MIN_AMOUNT, job.cpus());
            double byMemory = memoryGb / Math.max(MIN_AMOUNT, job.memoryGb());
            double byGpus = job.gpus() == 0 ? Integer.MAX_VALUE : gpus / job.gpus();
            double tasks = Math.min(byCpus, Math.min(byMemory, byGpus));
            return (int) Math.max(1, tasks);
        }

        /** Present price per hour of a spot or an ordinary machine. */
        public double price(boolean spot) {
            return spot ? spotPrice : price;
        }
    }

    /** Where a machine stands in the cloud's list. */
    public enum MachinePhase {
        BOOTING,
        RUNNING,
        /** Stopped by itself; stays listed until it is deleted. */
        FAILED
    }

    /**
     * One machine of the cloud's list.
     *
     * @param ageSeconds seconds since its rental, as of the moment that the list describes
     */
    public record ListedMachine(
            String name,
            String address,
            String type,
            String zone,
            boolean spot,
            MachinePhase phase,
            double ageSeconds) {}

    /**
     * One page of the cloud's list of machines, in the order of their names.
     *
     * @param more whether further pages follow
     */
    public record MachinePage(List<ListedMachine> machines, boolean more) {}

    /** Decodes the answer to {@link #MACHINE_TYPES_PATH}. */
    public static List<MachineType> types(byte[] body) throws MalformedMessageException {
        List<MachineType> types = new ArrayList<>();
        for (JsonNode type : Json.object(body).path("frames")) {
            types.add(machineType(type));
        }
        return List.copyOf(types);
    }

    private static MachineType machineType(JsonNode json) {
        return new MachineType(
                json.path("sku").asText(),
                json.path("vcpus").asDouble(),
                json.path("cards").asDouble(),
                json.path("memGb").asDouble(),
                json.path("localGb").asDouble(),
                json.path("pullGbPerS").asDouble(),
                json.path("price").asDouble(),
                json.path("marketPrice").asDouble(),
                json.path("bootS").asDouble(),
                texts(json.path("yards")));
    }

    /**
     * Encodes a rental request.
     *
     * @param request name of the request, never used for another one
     * @param count at most {@link #MAX_RENTALS}
     */
    public static byte[] encodeRental(
            String request, String type, String zone, boolean spot, int count) {
        return Json.write(
                json -> {
                    json.writeStringField("hire", request);
                    json.writeStringField("frame", type);
                    json.writeStringField("yard", zone);
                    json.writeBooleanField("loaner", spot);
                    json.writeNumberField("count", count);
                });
    }

    /** Decodes the answer to a rental request: the names of the machines rented. */
    public static List<String> decodeRental(byte[] body) throws MalformedMessageException {
        return texts(Json.object(body).path("stones"));
    }

    /** Encodes the deletion of at most {@link #MAX_DELETIONS} machines. */
    public static byte[] encodeDeletion(List<String> machines) {
        return Json.write(
                json -> {
                    json.writeArrayFieldStart("stones");
                    for (String machine : machines) {
                        json.writeString(machine);
                    }
                    json.writeEndArray();
                });
    }

    /**
     * Path of one page of the cloud's list.
     *
     * @param after name after which the page begins, or null for the first page
     */
    public static String listPath(String after) {
        String from = after == null ? "" : "from=" + after + "&";
        return RENTALS_PATH + "?" + from + "limit=" + MAX_LISTED;
    }

    /** Decodes one page of the cloud's list. */
    public static MachinePage list(byte[] body) throws MalformedMessageException {
        JsonNode json = Json.object(body);
        List<ListedMachine> machines = new ArrayList<>();
        for (JsonNode machine : json.path("stones")) {
            machines.add(listedMachine(machine));
        }
        return new MachinePage(machines, json.path("truncated").asBoolean());
    }

    private static ListedMachine listedMachine(JsonNode json) {
        return new ListedMachine(
                json.path("nameId").asText(),
                json.path("addr").asText(),
                json.path("frame").asText(),
                json.path("yard").asText(),
                json.path("loaner").asBoolean(),
                phase(json.path("phase").asText()),
                json.path("heldS").asDouble());
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
        array.forEach(element -> texts.add(element.asText()));
        return List.copyOf(texts);
    }
}
