package org.springmill.control.storage;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class ImageLocationsTest {
    @ParameterizedTest
    @CsvSource({"3, 4, 8192, 3", "60, 18, 8192, 60", "500, 18, 8192, 70"})
    void notesSurviveAndFitAValue(int machines, int images, int bytes, int atLeast) {
        ImageLocations notes = new ImageLocations();
        for (int m = 0; m < machines; m++) {
            for (int i = 0; i < images; i++) {
                notes.add("host-" + m, "img-" + i, 10 + i);
            }
        }
        var value = notes.encode(bytes);
        assertTrue(value.toString().length() <= bytes, "bytes " + value.toString().length());
        ImageLocations read = ImageLocations.decode(value);
        for (int m = 0; m < atLeast; m++) {
            assertEquals(notes.of("host-" + m), read.of("host-" + m));
        }
    }
}
