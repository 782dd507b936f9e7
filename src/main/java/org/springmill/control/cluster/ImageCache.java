package org.springmill.control.cluster;

import java.util.HashMap;
import java.util.Map;

/** The likely content of a machine's image cache, estimated from the tasks started there. */
public final class ImageCache {
    /** An image with its size, its last use, and when its fetch should be complete. */
    record Image(double gb, double usedAt, double readyAt) {}

    private final Map<String, Image> images = new HashMap<>();

    /** Records that a task needs an image. A missing image is fetched after those in progress. */
    void recordNeeded(String image, double gb, double capacityGb, double gbPerSecond, double now) {
        Image held = images.get(image);
        put(
                image,
                new Image(
                        gb,
                        now,
                        held == null ? fetchQueueEmptyAt(now) + gb / gbPerSecond : held.readyAt()),
                capacityGb);
    }

    /** Records that a task runs, so that its image is in the cache. */
    void recordUsed(String image, double gb, double capacityGb, double now) {
        put(image, new Image(gb, now, now), capacityGb);
    }

    /** Records that no task waits for an image any more; an incomplete fetch is cancelled. */
    void cancelFetch(String image, double now) {
        images.computeIfPresent(image, (name, held) -> held.readyAt() > now ? null : held);
    }

    /** When all fetches in progress should be complete. */
    private double fetchQueueEmptyAt(double now) {
        return images.values().stream().mapToDouble(Image::readyAt).reduce(now, Math::max);
    }

    /**
     * Estimated wait of a task for an image, in seconds. Images share a machine's fetch rate, so a
     * fetch waits for those before it. Without that in the estimate, small services were placed on
     * machines that were fetching several large images, and waited for half a minute.
     */
    double fetchWaitSeconds(String image, double gb, double gbPerSecond, double now) {
        Image held = images.get(image);
        return held == null
                ? fetchQueueEmptyAt(now) - now + gb / gbPerSecond
                : Math.max(0, held.readyAt() - now);
    }

    /**
     * Adds an image, and evicts the least recently used ones if the cache is over its capacity, but
     * never the one just added.
     */
    private void put(String image, Image entry, double capacityGb) {
        images.put(image, entry);
        while (images.size() > 1 && totalGb() > capacityGb) {
            String oldest = image;
            for (Map.Entry<String, Image> e : images.entrySet()) {
                if (!e.getKey().equals(image)
                        && (oldest.equals(image)
                                || e.getValue().usedAt() < images.get(oldest).usedAt())) {
                    oldest = e.getKey();
                }
            }
            images.remove(oldest);
        }
    }

    /** Adds an image that an earlier leader stored, as the least recently used. */
    void restore(String image, double gb) {
        images.putIfAbsent(
                image, new Image(gb, Double.NEGATIVE_INFINITY, Double.NEGATIVE_INFINITY));
    }

    private double totalGb() {
        return images.values().stream().mapToDouble(Image::gb).sum();
    }

    /** Whether an image is in the cache or being fetched. */
    boolean holds(String image) {
        return images.containsKey(image);
    }

    /** All images in the cache or being fetched, by name. */
    Map<String, Image> all() {
        return images;
    }

    /** Removes all images. */
    public void clear() {
        images.clear();
    }
}
