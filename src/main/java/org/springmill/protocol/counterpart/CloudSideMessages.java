package org.springmill.protocol.counterpart;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.springmill.protocol.CloudMessages;
import org.springmill.protocol.CloudMessages.ListedMachine;
import org.springmill.protocol.CloudMessages.MachinePhase;
import org.springmill.protocol.CloudMessages.MachineType;
import org.springmill.protocol.Json;
import org.springmill.protocol.MalformedMessageException;
import org.springmill.protocol.WireFields;

/** The cloud's side of {@link CloudMessages}: decodes requests, encodes responses. */
public final class CloudSideMessages {
    private static final String PAGE_START_PARAMETER = "from=";

    private CloudSideMessages() {}

    /**
     * A rental request.
     *
     * @param request name that makes the request idempotent
     * @param type name of the machine type
     * @param zone of the machines
     * @param spot whether spot machines are asked for
     * @param count the most machines to rent
     */
    public record Rental(String request, String type, String zone, boolean spot, int count) {}

    /**
     * Decodes a rental request.
     *
     * @throws MalformedMessageException if the body is not a JSON object
     */
    public static Rental decodeRental(byte[] body) throws MalformedMessageException {
        JsonNode json = Json.object(body);
        return new Rental(
                json.path(WireFields.RENTAL_REQUEST).asText(),
                json.path(WireFields.MACHINE_TYPE).asText(),
                json.path(WireFields.ZONE).asText(),
                json.path(WireFields.SPOT).asBoolean(),
                json.path(WireFields.COUNT).asInt());
    }

    /**
     * Decodes the names of the machines in a deletion request.
     *
     * @throws MalformedMessageException if the body is not a JSON object
     */
    public static List<String> decodeDeletion(byte[] body) throws MalformedMessageException {
        List<String> names = new ArrayList<>();
        Json.object(body).path(WireFields.MACHINES).forEach(name -> names.add(name.asText()));
        return names;
    }

    /**
     * The name after which a page of the list begins; empty for the first page.
     *
     * @param query of the request, without its question mark
     */
    public static String decodePageStart(String query) {
        for (String pair : query.split("&")) {
            if (pair.startsWith(PAGE_START_PARAMETER)) {
                return pair.substring(PAGE_START_PARAMETER.length());
            }
        }
        return "";
    }

    /** Encodes the response to a rental request: the names of the machines rented. */
    public static byte[] encodeRentalResponse(List<String> names) {
        return Json.write(
                json -> {
                    json.writeArrayFieldStart(WireFields.MACHINES);
                    for (String name : names) {
                        json.writeString(name);
                    }
                    json.writeEndArray();
                });
    }

    /** Encodes the error of a rental request for which there is no capacity. */
    public static byte[] encodeNoCapacity() {
        return KeyValueStoreServerMessages.encodeError("no capacity");
    }

    /** Encodes the error of every request during an outage of the cloud. */
    public static byte[] encodeOutage() {
        return KeyValueStoreServerMessages.encodeError("trouble");
    }

    /** Encodes the list of machine types. */
    public static byte[] encodeMachineTypes(List<MachineType> types) {
        return Json.write(
                json -> {
                    json.writeArrayFieldStart(WireFields.MACHINE_TYPES);
                    for (MachineType type : types) {
                        writeMachineType(json, type);
                    }
                    json.writeEndArray();
                });
    }

    /**
     * Encodes one page of the list of machines.
     *
     * @param more whether further pages follow
     */
    public static byte[] encodeMachinePage(List<ListedMachine> machines, boolean more) {
        return Json.write(
                json -> {
                    json.writeArrayFieldStart(WireFields.MACHINES);
                    for (ListedMachine machine : machines) {
                        writeListedMachine(json, machine);
                    }
                    json.writeEndArray();
                    json.writeBooleanField(WireFields.TRUNCATED, more);
                });
    }

    private static void writeMachineType(JsonGenerator json, MachineType type) throws IOException {
        json.writeStartObject();
        json.writeStringField(WireFields.TYPE_NAME, type.name());
        json.writeNumberField(WireFields.CPUS, type.cpus());
        json.writeNumberField(WireFields.GPUS, type.gpus());
        json.writeNumberField(WireFields.MEMORY_GB, type.memoryGb());
        json.writeNumberField(WireFields.CACHE_GB, type.cacheGb());
        json.writeNumberField(WireFields.FETCH_GB_PER_SECOND, type.fetchGbPerSecond());
        json.writeNumberField(WireFields.PRICE, type.price());
        json.writeNumberField(WireFields.SPOT_PRICE, type.spotPrice());
        json.writeNumberField(WireFields.BOOT_SECONDS, type.bootSeconds());
        json.writeArrayFieldStart(WireFields.ZONES);
        for (String zone : type.zones()) {
            json.writeString(zone);
        }
        json.writeEndArray();
        json.writeEndObject();
    }

    private static void writeListedMachine(JsonGenerator json, ListedMachine machine)
            throws IOException {
        json.writeStartObject();
        json.writeStringField(WireFields.MACHINE_NAME, machine.name());
        json.writeStringField(WireFields.ADDRESS, machine.address());
        json.writeStringField(WireFields.MACHINE_TYPE, machine.type());
        json.writeStringField(WireFields.ZONE, machine.zone());
        json.writeBooleanField(WireFields.SPOT, machine.spot());
        json.writeStringField(WireFields.PHASE, wireName(machine.phase()));
        json.writeNumberField(WireFields.AGE_SECONDS, machine.ageSeconds());
        json.writeEndObject();
    }

    private static String wireName(MachinePhase phase) {
        return switch (phase) {
            case BOOTING -> "starting";
            case RUNNING -> "running";
            case FAILED -> "failed";
        };
    }
}
