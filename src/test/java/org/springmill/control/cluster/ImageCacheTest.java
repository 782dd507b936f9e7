package org.springmill.control.cluster;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * A cache of 100 GB that is filled at 2 GB per second. At second 10 tasks request a large and a
 * small image.
 */
class ImageCacheTest {
    private final ImageCache images = new ImageCache();

    @BeforeEach
    void startTwoFetches() {
        images.recordNeeded("large", 60, 100, 2, 10);
        images.recordNeeded("small", 2, 100, 2, 10);
    }

    /** Guards against estimates that ignore the fetches in progress. */
    @ParameterizedTest
    @CsvSource({
        "large, 60, 10, 30",
        "small, 2, 10, 31",
        "other, 4, 10, 33",
        "small, 2, 40, 1",
        "other, 4, 40, 3",
        "other, 4, 60, 2",
        "large, 60, 60, 0"
    })
    void fetchWaitsForEarlierFetches(String image, double gb, double now, double expectedWait) {
        assertEquals(expectedWait, images.fetchWaitSeconds(image, gb, 2, now), 1e-9);
    }

    @Test
    void imageOfARunningTaskIsCached() {
        images.recordUsed("large", 60, 100, 15);
        images.recordUsed("small", 2, 100, 15);
        assertEquals(0, images.fetchWaitSeconds("large", 60, 2, 15));
        assertEquals(2, images.fetchWaitSeconds("other", 4, 2, 15));
    }

    @Test
    void cancelledFetchIsDroppedUnlessComplete() {
        images.cancelFetch("large", 20);
        assertFalse(images.holds("large"));
        images.cancelFetch("small", 50);
        assertEquals(0, images.fetchWaitSeconds("small", 2, 2, 50), "it was there already");
    }

    @Test
    void leastRecentlyUsedImageIsEvicted() {
        images.recordUsed("large", 60, 100, 20);
        images.recordNeeded("third", 50, 100, 2, 30);
        assertFalse(images.holds("small"));
        assertFalse(images.holds("large"));
    }
}
