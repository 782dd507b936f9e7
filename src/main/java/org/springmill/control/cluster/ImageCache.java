package org.springmill.control.cluster;

import java.util.HashMap;
import java.util.Map;

/** What a machine's image cache should hold, estimated from what was started on it. */
public final class ImageCache {
    /** An image with its size, its last use, and when it should be there. */
    record Image(double gb, double usedAt, double readyAt) {}

    private final Map<String, Image> images = new HashMap<>();

    /**
     * Notes that a task needs an image. One that is missing is fetched after those that are being
     * fetched already.
     */
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

    /** Notes that a task runs, so that its image is there. */
    void recordUsed(String image, double gb, double capacityGb, double now) {
        put(image, new Image(gb, now, now), capacityGb);
    }

    /** Notes that no task waits for an image any more: what was not yet there is given up. */
    void cancelFetch(String image, double now) {
        images.computeIfPresent(image, (name, held) -> held.readyAt() > now ? null : held);
    }

    /** When all that is being fetched should be there. */
    private double fetchQueueEmptyAt(double now) {
        return images.values().stream().mapToDouble(Image::readyAt).reduce(now, Math::max);
    }

    /**
     * How long a task that needs an image should have to wait for it. Images share the rate at
     * which a machine fetches: one that fetched several large ones kept small services, sent there
     * since it had room, waiting for half a minute.
     */
    double fetchWaitSeconds(String image, double gb, double gbPerSecond, double now) {
        Image held = images.get(image);
        return held == null
                ? fetchQueueEmptyAt(now) - now + gb / gbPerSecond
                : Math.max(0, held.readyAt() - now);
    }

    /**
     * The least recently used images fall out when the cache is full; the one in use never does.
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

    /** Takes over what an earlier leader noted, as used longest ago. */
    void restore(String image, double gb) {
        images.putIfAbsent(
                image, new Image(gb, Double.NEGATIVE_INFINITY, Double.NEGATIVE_INFINITY));
    }

    private double totalGb() {
        return images.values().stream().mapToDouble(Image::gb).sum();
    }

    /** Whether an image is there or being fetched. */
    boolean holds(String image) {
        return images.containsKey(image);
    }

    /** All images that are there or being fetched, by name. */
    Map<String, Image> all() {
        return images;
    }

    /** Forgets all images. */
    public void clear() {
        images.clear();
    }
}
