package org.springmill.control.storage;

import java.util.ArrayList;
import java.util.Base64;
import java.util.BitSet;
import java.util.List;

/**
 * Text forms of sets of finished task numbers, in pieces of a bounded size each. A piece is a list
 * of ranges ("0-17,19") or, where that is shorter, a bitmap ("@16384:base64").
 */
final class CompletedTasks {
    private static final int LARGEST_WINDOW = 1 << 14;
    private static final int SMALLEST_WINDOW = 1 << 8;

    /** A character of a bitmap holds so many tasks. */
    private static final int TASKS_PER_CHARACTER = 6;

    private CompletedTasks() {}

    /**
     * @param most characters of one piece; a value that shrank must still hold a whole one
     */
    static List<String> encode(BitSet done, int most) {
        int window = LARGEST_WINDOW;
        while (window > SMALLEST_WINDOW && window / TASKS_PER_CHARACTER > most) {
            window /= 2;
        }
        List<String> pieces = new ArrayList<>();
        for (int from = done.nextSetBit(0); from >= 0; ) {
            int base = from / window * window;
            BitSet part = done.get(base, base + window);
            String ranges = ranges(part, base);
            String bitmap =
                    '@'
                            + Integer.toString(base)
                            + ':'
                            + Base64.getEncoder()
                                    .withoutPadding()
                                    .encodeToString(part.toByteArray());
            pieces.add(ranges.length() <= bitmap.length() ? ranges : bitmap);
            from = done.nextSetBit(base + window);
        }
        return pieces;
    }

    static void decode(String piece, BitSet into) {
        if (piece.startsWith("@")) {
            int colon = piece.indexOf(':');
            int base = Integer.parseInt(piece, 1, colon, 10);
            BitSet.valueOf(Base64.getDecoder().decode(piece.substring(colon + 1))).stream()
                    .forEach(i -> into.set(base + i));
            return;
        }
        for (String range : piece.split(",")) {
            int dash = range.indexOf('-');
            if (dash < 0) {
                into.set(Integer.parseInt(range));
            } else {
                into.set(
                        Integer.parseInt(range, 0, dash, 10),
                        Integer.parseInt(range, dash + 1, range.length(), 10) + 1);
            }
        }
    }

    private static String ranges(BitSet part, int base) {
        StringBuilder text = new StringBuilder();
        for (int from = part.nextSetBit(0); from >= 0; ) {
            int to = part.nextClearBit(from) - 1;
            if (text.length() > 0) {
                text.append(',');
            }
            text.append(base + from);
            if (to > from) {
                text.append('-').append(base + to);
            }
            from = part.nextSetBit(to + 1);
        }
        return text.toString();
    }
}
