package org.springmill.control.storage;

import java.util.ArrayList;
import java.util.Base64;
import java.util.BitSet;
import java.util.List;

/**
 * Text form of sets of task numbers, such as completed tasks, in pieces of bounded size. A piece is
 * a list of ranges ("0-17,19") or, where that is shorter, a bitmap ("@16384:base64").
 */
public final class CompletedTasks {
    /** Largest range of task numbers that one piece covers. */
    private static final int LARGEST_WINDOW = 1 << 14;

    private static final int SMALLEST_WINDOW = 1 << 8;

    /** Tasks in one Base64 character of a bitmap. */
    private static final int TASKS_PER_CHARACTER = 6;

    private static final char BITMAP_MARK = '@';
    private static final char BITMAP_SEPARATOR = ':';
    private static final char RANGE_SEPARATOR = ',';
    private static final char RANGE_DASH = '-';

    private CompletedTasks() {}

    /**
     * Encodes a set as pieces.
     *
     * @param maxCharacters approximate maximum length of a piece; it is chosen so that a whole
     *     piece still fits into a value after the value limit was lowered
     */
    public static List<String> encode(BitSet completed, int maxCharacters) {
        int window = window(maxCharacters);
        List<String> pieces = new ArrayList<>();
        for (int from = completed.nextSetBit(0); from >= 0; ) {
            int base = from / window * window;
            BitSet part = completed.get(base, base + window);
            String ranges = ranges(part, base);
            String bitmap = bitmap(part, base);
            pieces.add(ranges.length() <= bitmap.length() ? ranges : bitmap);
            from = completed.nextSetBit(base + window);
        }
        return pieces;
    }

    private static int window(int maxCharacters) {
        int window = LARGEST_WINDOW;
        while (window > SMALLEST_WINDOW && window / TASKS_PER_CHARACTER > maxCharacters) {
            window /= 2;
        }
        return window;
    }

    /**
     * Adds the tasks of a piece to a set.
     *
     * @throws IllegalArgumentException if the text is not a valid piece
     */
    public static void decode(String piece, BitSet into) {
        if (piece.indexOf(BITMAP_MARK) == 0) {
            decodeBitmap(piece, into);
        } else {
            decodeRanges(piece, into);
        }
    }

    private static void decodeBitmap(String piece, BitSet into) {
        int separator = piece.indexOf(BITMAP_SEPARATOR);
        int base = Integer.parseInt(piece, 1, separator, 10);
        byte[] bits = Base64.getDecoder().decode(piece.substring(separator + 1));
        BitSet.valueOf(bits).stream().forEach(task -> into.set(base + task));
    }

    private static void decodeRanges(String piece, BitSet into) {
        for (String range : piece.split(String.valueOf(RANGE_SEPARATOR))) {
            int dash = range.indexOf(RANGE_DASH);
            if (dash < 0) {
                into.set(Integer.parseInt(range));
            } else {
                int first = Integer.parseInt(range, 0, dash, 10);
                int last = Integer.parseInt(range, dash + 1, range.length(), 10);
                into.set(first, last + 1);
            }
        }
    }

    private static String bitmap(BitSet part, int base) {
        Base64.Encoder encoder = Base64.getEncoder().withoutPadding();
        String bits = encoder.encodeToString(part.toByteArray());
        return String.valueOf(BITMAP_MARK) + base + BITMAP_SEPARATOR + bits;
    }

    private static String ranges(BitSet part, int base) {
        StringBuilder text = new StringBuilder();
        for (int from = part.nextSetBit(0); from >= 0; ) {
            int to = part.nextClearBit(from) - 1;
            if (text.length() > 0) {
                text.append(RANGE_SEPARATOR);
            }
            text.append(base + from);
            if (to > from) {
                text.append(RANGE_DASH).append(base + to);
            }
            from = part.nextSetBit(to + 1);
        }
        return text.toString();
    }
}
