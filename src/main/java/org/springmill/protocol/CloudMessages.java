package org.springmill.protocol;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;

/** Messages between controllers and the cloud's API. Unknown fields are ignored. */
public final class CloudMessages {
    /** Path of the list of machine types. */
    public static final String MACHINE_TYPES_PATH = "/machine_types";

    /** Path of rentals: POST rents machines, GET lists them. */
    public static final String RENTALS_PATH = "/rentals";

    /** Path to which deletions of machines are posted. */
    public static final String DELETIONS_PATH = "/rentals/delete";

    /** Maximum number of machines in one rental request. */
    public static final int MAX_RENTALS = 50;

    /** Maximum number of machines in one deletion request. */
    public static final int MAX_DELETIONS = 100;

    /** Maximum number of machines on one page of the list. */
    public static final int MAX_LISTED = 500;

    /** Lower bound of divisors, which avoids a division by 0. */
    private static final double MIN_AMOUNT = 1e-6;

    private CloudMessages() {}

    /**
     * A type of machine that the cloud offers.
     *
     * @param name of the type
     * @param cpus CPUs of a machine
     * @param gpus GPUs of a machine
     * @param memoryGb memory of a machine, in GB
     * @param cacheGb size of the image cache, in GB
     * @param fetchGbPerSecond rate at which a machine fetches images, shared by all fetches
     * @param price current price of an ordinary machine, per hour
     * @param spotPrice current price of a spot machine, per hour
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
            return job.machineTypes() == null || job.machineTypes().contains(name);
        }

        private boolean isOfferedFor(Submission job) {
            return job.zone() == null || zones.contains(job.zone());
        }

        /**
         * How many tasks of a job an empty machine of this type can run; at least 1.
         *
         * @param job one that {@link #fits}
         */
        public int tasksPerMachine(Submission job) {
            double byCpus = cpus / Math.max(MIN_AMOUNT, job.cpus());
            double byMemory = memoryGb / Math.max(MIN_AMOUNT, job.memoryGb());
            double byGpus = job.gpus() == 0 ? Integer.MAX_VALUE : gpus / job.gpus();
            double byHeartbeat =
                    HeartbeatSize.MAX_TASK_BYTES / (double) HeartbeatSize.maxBytes(job);
            double tasks = Math.min(Math.min(byCpus, byMemory), Math.min(byGpus, byHeartbeat));
            return (int) Math.max(1, tasks);
        }

        /** The resources of an empty machine of this type. */
        public Resources capacity() {
            return new Resources(cpus, gpus, memoryGb, HeartbeatSize.MAX_TASK_BYTES);
        }

        /**
         * The current price per hour.
         *
         * @param spot whether the price of a spot machine is requested
         */
        public double price(boolean spot) {
            return spot ? spotPrice : price;
        }
    }

    /** Phase of a machine in the cloud's list. */
    public enum MachinePhase {
        /** Rented, but not booted yet. */
        BOOTING,
        /** Has booted. Since the list lags, the machine may have ended since. */
        RUNNING,
        /** Has stopped without being deleted; stays listed until it is deleted. */
        FAILED
    }

    /**
     * One machine of the cloud's list.
     *
     * @param name of the machine
     * @param address on which its worker takes commands
     * @param type name of its machine type
     * @param zone of the machine
     * @param spot whether it is a spot machine
     * @param phase of the machine
     * @param ageSeconds seconds from its rental to the time of the listed state
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
     * @param machines of this page, at most {@link #MAX_LISTED}
     * @param more whether further pages follow
     */
    public record MachinePage(List<ListedMachine> machines, boolean more) {}

    /**
     * Decodes the response to {@link #MACHINE_TYPES_PATH}.
     *
     * @throws MalformedMessageException if it is not a JSON object
     */
    public static List<MachineType> decodeMachineTypes(byte[] body)
            throws MalformedMessageException {
        List<MachineType> types = new ArrayList<>();
        for (JsonNode type : Json.object(body).path(WireFields.MACHINE_TYPES)) {
            types.add(machineType(type));
        }
        return List.copyOf(types);
    }

    private static MachineType machineType(JsonNode json) {
        return new MachineType(
                json.path(WireFields.TYPE_NAME).asText(),
                json.path(WireFields.CPUS).asDouble(),
                json.path(WireFields.GPUS).asDouble(),
                json.path(WireFields.MEMORY_GB).asDouble(),
                json.path(WireFields.CACHE_GB).asDouble(),
                json.path(WireFields.FETCH_GB_PER_SECOND).asDouble(),
                json.path(WireFields.PRICE).asDouble(),
                json.path(WireFields.SPOT_PRICE).asDouble(),
                json.path(WireFields.BOOT_SECONDS).asDouble(),
                texts(json.path(WireFields.ZONES)));
    }

    /**
     * Encodes a rental request.
     *
     * @param request idempotency key; never reused for another request
     * @param type name of the machine type
     * @param zone of the machines
     * @param spot whether to rent spot machines
     * @param count number of machines, at most {@link #MAX_RENTALS}
     */
    public static byte[] encodeRental(
            String request, String type, String zone, boolean spot, int count) {
        return Json.write(
                json -> {
                    json.writeStringField(WireFields.RENTAL_REQUEST, request);
                    json.writeStringField(WireFields.MACHINE_TYPE, type);
                    json.writeStringField(WireFields.ZONE, zone);
                    json.writeBooleanField(WireFields.SPOT, spot);
                    json.writeNumberField(WireFields.COUNT, count);
                });
    }

    /**
     * Decodes the response to a rental request: the names of the machines rented.
     *
     * @throws MalformedMessageException if it is not a JSON object
     */
    public static List<String> decodeRental(byte[] body) throws MalformedMessageException {
        return texts(Json.object(body).path(WireFields.MACHINES));
    }

    /** Encodes the deletion of at most {@link #MAX_DELETIONS} machines. */
    public static byte[] encodeDeletion(List<String> machines) {
        return Json.write(
                json -> {
                    json.writeArrayFieldStart(WireFields.MACHINES);
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

    /**
     * Decodes one page of the cloud's list.
     *
     * @throws MalformedMessageException if it is not a JSON object
     */
    public static MachinePage decodeMachinePage(byte[] body) throws MalformedMessageException {
        JsonNode json = Json.object(body);
        List<ListedMachine> machines = new ArrayList<>();
        for (JsonNode machine : json.path(WireFields.MACHINES)) {
            machines.add(listedMachine(machine));
        }
        return new MachinePage(machines, json.path(WireFields.TRUNCATED).asBoolean());
    }

    private static ListedMachine listedMachine(JsonNode json) {
        return new ListedMachine(
                json.path(WireFields.MACHINE_NAME).asText(),
                json.path(WireFields.ADDRESS).asText(),
                json.path(WireFields.MACHINE_TYPE).asText(),
                json.path(WireFields.ZONE).asText(),
                json.path(WireFields.SPOT).asBoolean(),
                machinePhase(json.path(WireFields.PHASE).asText()),
                json.path(WireFields.AGE_SECONDS).asDouble());
    }

    private static MachinePhase machinePhase(String wireName) {
        return switch (wireName) {
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
