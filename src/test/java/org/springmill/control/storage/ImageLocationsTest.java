package org.springmill.control.storage;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class ImageLocationsTest {
    @ParameterizedTest
    @CsvSource({"3, 4, 8192, 3", "60, 18, 8192, 60", "500, 18, 8192, 70"})
    void locationsAreReadBackAndFitTheSizeLimit(
            int machines, int images, int maxBytes, int minMachines) {
        ImageLocations locations = new ImageLocations();
        for (int m = 0; m < machines; m++) {
            for (int i = 0; i < images; i++) {
                locations.add("host-" + m, "img-" + i, 10 + i);
            }
        }
        var value = locations.encode(maxBytes);
        assertTrue(value.toString().length() <= maxBytes, "bytes " + value.toString().length());
        ImageLocations read = ImageLocations.decode(value);
        for (int m = 0; m < minMachines; m++) {
            assertEquals(locations.of("host-" + m), read.of("host-" + m));
        }
    }
}
