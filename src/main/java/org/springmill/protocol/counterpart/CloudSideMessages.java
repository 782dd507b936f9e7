package org.springmill.protocol.counterpart;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import org.springmill.protocol.CloudMessages.ListedMachine;
import org.springmill.protocol.CloudMessages.MachinePhase;
import org.springmill.protocol.CloudMessages.MachineType;
import org.springmill.protocol.Json;
import org.springmill.protocol.MalformedMessageException;

/** Requests to the cloud as it reads them, and its answers. */
public final class CloudSideMessages {
    private CloudSideMessages() {}

    /** A rental request. */
    public record Rental(String request, String type, String zone, boolean spot, int count) {}

    public static Rental rental(byte[] body) throws MalformedMessageException {
        JsonNode json = Json.object(body);
        return new Rental(
                json.path("hire").asText(),
                json.path("frame").asText(),
                json.path("yard").asText(),
                json.path("loaner").asBoolean(),
                json.path("count").asInt());
    }

    /** Names in a deletion request. */
    public static List<String> deletion(byte[] body) throws MalformedMessageException {
        List<String> names = new ArrayList<>();
        Json.object(body).path("stones").forEach(name -> names.add(name.asText()));
        return names;
    }

    /** The name after which a page of the list begins; empty for the first page. */
    public static String listedAfter(String query) {
        for (String pair : query.split("&")) {
            if (pair.startsWith("from=")) {
                return pair.substring("from=".length());
            }
        }
        return "";
    }

    /** Writes the answer to a rental request. */
    public static byte[] rented(List<String> names) {
        return Json.write(
                json -> {
                    json.writeArrayFieldStart("stones");
                    for (String name : names) {
                        json.writeString(name);
                    }
                    json.writeEndArray();
                });
    }

    /** Writes the answer to a rental request that finds nothing to rent. */
    public static byte[] noCapacity() {
        return KeyValueStoreServerMessages.error("no capacity");
    }

    /** Writes the machine types. */
    public static byte[] types(List<MachineType> types) {
        return Json.write(
                json -> {
                    json.writeArrayFieldStart("frames");
                    for (MachineType type : types) {
                        json.writeStartObject();
                        json.writeStringField("sku", type.name());
                        json.writeNumberField("vcpus", type.cpus());
                        json.writeNumberField("cards", type.gpus());
                        json.writeNumberField("memGb", type.memoryGb());
                        json.writeNumberField("localGb", type.cacheGb());
                        json.writeNumberField("pullGbPerS", type.fetchGbPerSecond());
                        json.writeNumberField("price", type.price());
                        json.writeNumberField("marketPrice", type.spotPrice());
                        json.writeNumberField("bootS", type.bootSeconds());
                        json.writeArrayFieldStart("yards");
                        for (String zone : type.zones()) {
                            json.writeString(zone);
                        }
                        json.writeEndArray();
                        json.writeEndObject();
                    }
                    json.writeEndArray();
                });
    }

    /** Writes one page of the list. */
    public static byte[] list(List<ListedMachine> machines, boolean more) {
        return Json.write(
                json -> {
                    json.writeArrayFieldStart("stones");
                    for (ListedMachine machine : machines) {
                        json.writeStartObject();
                        json.writeStringField("nameId", machine.name());
                        json.writeStringField("addr", machine.address());
                        json.writeStringField("frame", machine.type());
                        json.writeStringField("yard", machine.zone());
                        json.writeBooleanField("loaner", machine.spot());
                        json.writeStringField("phase", wire(machine.phase()));
                        json.writeNumberField("heldS", machine.ageSeconds());
                        json.writeEndObject();
                    }
                    json.writeEndArray();
                    json.writeBooleanField("truncated", more);
                });
    }

    private static String wire(MachinePhase phase) {
        return switch (phase) {
            case BOOTING -> "starting";
            case RUNNING -> "running";
            case FAILED -> "failed";
        };
    }
}
