package org.springmill.control.storage;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.springmill.protocol.Json;

/**
 * Hints on which machines hold which images, stored now and then for the next leader under {@code
 * images}. Nothing but start times depends on it, so it may be old, cut short or missing.
 */
public final class ImageLocations {
    public static final String KEY = "images";

    /** Room for the fields around the lists. */
    private static final int OVERHEAD_BYTES = 64;

    /** Quotes and comma of a machine in the list. */
    private static final int MACHINE_OVERHEAD_BYTES = 3;

    /** Size and punctuation around the name of an image that is listed first for this machine. */
    private static final int IMAGE_OVERHEAD_BYTES = 25;

    /** A machine's place in the list of an image. */
    private static final int HOLDER_BYTES = 5;

    private final Map<String, Map<String, Double>> byMachine = new LinkedHashMap<>();

    /** Notes that a machine holds an image of the size given. */
    public void add(String machine, String image, double gb) {
        byMachine.computeIfAbsent(machine, m -> new HashMap<>()).put(image, gb);
    }

    /** The images of a machine with their sizes. */
    public Map<String, Double> of(String machine) {
        return byMachine.getOrDefault(machine, Map.of());
    }

    /**
     * Machines are listed once and then named by their place in the list; what does not fit a value
     * is left out.
     */
    public JsonNode encode(int valueBytes) {
        ObjectNode json = Json.newObject().put("v", 1);
        ArrayNode machines = json.putArray("machines");
        ObjectNode images = json.putObject("images");
        int bytesLeft = valueBytes - OVERHEAD_BYTES;
        int index = 0;
        for (Map.Entry<String, Map<String, Double>> e : byMachine.entrySet()) {
            int cost = e.getKey().length() + MACHINE_OVERHEAD_BYTES;
            for (String image : e.getValue().keySet()) {
                cost += images.has(image) ? HOLDER_BYTES : image.length() + IMAGE_OVERHEAD_BYTES;
            }
            bytesLeft -= cost;
            if (bytesLeft < 0) {
                break;
            }
            machines.add(e.getKey());
            int at = index++;
            e.getValue()
                    .forEach(
                            (image, gb) -> {
                                ArrayNode holders = images.withArray(image);
                                if (holders.isEmpty()) {
                                    holders.add(gb);
                                }
                                holders.add(at);
                            });
        }
        return json;
    }

    /** Reads a stored value; machines that it does not list are passed over. */
    public static ImageLocations decode(JsonNode value) {
        ImageLocations locations = new ImageLocations();
        List<String> machines = new ArrayList<>();
        value.path("machines").forEach(m -> machines.add(m.asText()));
        value.path("images")
                .properties()
                .forEach(
                        e -> {
                            for (int i = 1; i < e.getValue().size(); i++) {
                                int at = e.getValue().get(i).asInt();
                                if (at < machines.size()) {
                                    locations.add(
                                            machines.get(at),
                                            e.getKey(),
                                            e.getValue().get(0).asDouble());
                                }
                            }
                        });
        return locations;
    }
}
