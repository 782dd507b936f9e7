package org.springmill.control.storage;

import java.util.ArrayList;
import java.util.Base64;
import java.util.BitSet;
import java.util.List;

/**
 * Text forms of sets of finished task numbers, in pieces that each fit a value many times over. A piece is a list of
 * ranges ("0-17,19") or, where that is shorter, a bitmap ("@16384:base64").
 */
final class DoneMarks {
    private static final int WINDOW = 1 << 14;

    private DoneMarks() {
    }

    static List<String> encode(BitSet done) {
        List<String> pieces = new ArrayList<>();
        for (int from = done.nextSetBit(0); from >= 0; ) {
            int base = from / WINDOW * WINDOW;
            BitSet window = done.get(base, base + WINDOW);
            String ranges = ranges(window, base);
            String bitmap = '@' + Integer.toString(base) + ':'
                    + Base64.getEncoder().withoutPadding().encodeToString(window.toByteArray());
            pieces.add(ranges.length() <= bitmap.length() ? ranges : bitmap);
            from = done.nextSetBit(base + WINDOW);
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
                into.set(Integer.parseInt(range, 0, dash, 10), Integer.parseInt(range, dash + 1, range.length(), 10) + 1);
            }
        }
    }

    private static String ranges(BitSet window, int base) {
        StringBuilder text = new StringBuilder();
        for (int from = window.nextSetBit(0); from >= 0; ) {
            int to = window.nextClearBit(from) - 1;
            if (text.length() > 0) {
                text.append(',');
            }
            text.append(base + from);
            if (to > from) {
                text.append('-').append(base + to);
            }
            from = window.nextSetBit(to + 1);
        }
        return text.toString();
    }
}
