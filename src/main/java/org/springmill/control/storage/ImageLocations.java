package org.springmill.control.storage;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.springmill.protocol.Json;

/**
 * Hints on which machines hold which images, stored periodically under {@code images} for the next
 * leader. They only affect start times, so they may be outdated, incomplete or missing.
 */
public final class ImageLocations {
    /** Key of the record. */
    public static final String KEY = "images";

    private static final int FORMAT_VERSION = 1;
    private static final String MACHINES = "machines";
    private static final String IMAGES = "images";

    /** Estimated bytes of the fields around the lists. */
    private static final int OVERHEAD_BYTES = 64;

    /** Quotes and comma of a machine in the list. */
    private static final int MACHINE_OVERHEAD_BYTES = 3;

    /** Size and punctuation around the name of an image that no earlier machine holds. */
    private static final int IMAGE_OVERHEAD_BYTES = 25;

    /** The index of a machine in the list of an image. */
    private static final int HOLDER_BYTES = 5;

    /** Sizes of images in GB, by machine and image. */
    private final Map<String, Map<String, Double>> imagesByMachine = new LinkedHashMap<>();

    /** Adds an image of the given size that a machine holds. */
    public void add(String machine, String image, double gb) {
        imagesByMachine.computeIfAbsent(machine, m -> new HashMap<>()).put(image, gb);
    }

    /** The images of a machine with their sizes in GB. */
    public Map<String, Double> of(String machine) {
        return imagesByMachine.getOrDefault(machine, Map.of());
    }

    /**
     * The stored form: machines are listed once, and an image lists its size and then the indexes
     * of its machines. Machines that do not fit are left out.
     *
     * @param valueBytes maximum size of the value
     */
    public JsonNode encode(int valueBytes) {
        ObjectNode json = Json.newObject().put("v", FORMAT_VERSION);
        ArrayNode machines = json.putArray(MACHINES);
        ObjectNode images = json.putObject(IMAGES);
        int bytesLeft = valueBytes - OVERHEAD_BYTES;
        for (Map.Entry<String, Map<String, Double>> entry : imagesByMachine.entrySet()) {
            String machine = entry.getKey();
            Map<String, Double> held = entry.getValue();
            bytesLeft -= bytes(machine, held.keySet(), images);
            if (bytesLeft < 0) {
                break;
            }
            int machineIndex = machines.size();
            machines.add(machine);
            held.forEach((image, gb) -> addHolder(images, image, gb, machineIndex));
        }
        return json;
    }

    /** Estimated bytes that a machine adds to a value that already has these images. */
    private static int bytes(String machine, Set<String> held, ObjectNode images) {
        int bytes = machine.length() + MACHINE_OVERHEAD_BYTES;
        for (String image : held) {
            bytes += images.has(image) ? HOLDER_BYTES : image.length() + IMAGE_OVERHEAD_BYTES;
        }
        return bytes;
    }

    private static void addHolder(ObjectNode images, String image, double gb, int machineIndex) {
        ArrayNode fields = images.withArray(image);
        if (fields.isEmpty()) {
            fields.add(gb);
        }
        fields.add(machineIndex);
    }

    /** Reads the stored form; indexes of machines that it does not list are ignored. */
    public static ImageLocations decode(JsonNode value) {
        List<String> machines = new ArrayList<>();
        value.path(MACHINES).forEach(machine -> machines.add(machine.asText()));
        ImageLocations locations = new ImageLocations();
        value.path(IMAGES)
                .properties()
                .forEach(image -> locations.addHolders(image.getKey(), image.getValue(), machines));
        return locations;
    }

    private void addHolders(String image, JsonNode fields, List<String> machines) {
        double gb = fields.path(0).asDouble();
        for (int i = 1; i < fields.size(); i++) {
            int machineIndex = fields.get(i).asInt();
            if (machineIndex < machines.size()) {
                add(machines.get(machineIndex), image, gb);
            }
        }
    }
}
