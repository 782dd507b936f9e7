package org.springmill.control.coordination;

import java.util.HashMap;
import java.util.Map;

/** What a machine's image cache should hold, as far as one can tell from what was started on it. */
final class ImageCache {
    /** An image with its size and last use. */
    record Image(double gb, double usedAt) {
    }

    private final Map<String, Image> images = new HashMap<>();

    /** The least recently used images fall out when the cache is full; the one in use never does. */
    void use(String image, double gb, double capacityGb, double now) {
        images.put(image, new Image(gb, now));
        while (images.size() > 1 && totalGb() > capacityGb) {
            String oldest = image;
            for (Map.Entry<String, Image> e : images.entrySet()) {
                if (!e.getKey().equals(image) && (oldest.equals(image) || e.getValue().usedAt() < images.get(oldest).usedAt())) {
                    oldest = e.getKey();
                }
            }
            images.remove(oldest);
        }
    }

    /** Takes over what an earlier leader noted, as used longest ago. */
    void adopt(String image, double gb) {
        images.putIfAbsent(image, new Image(gb, Double.NEGATIVE_INFINITY));
    }

    private double totalGb() {
        return images.values().stream().mapToDouble(Image::gb).sum();
    }

    boolean holds(String image) {
        return images.containsKey(image);
    }

    Map<String, Image> all() {
        return images;
    }

    void clear() {
        images.clear();
    }
}
