package org.springmill.control.storage;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.BitSet;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class CompletedTasksTest {
    /** Each set is given as first task, step and end (exclusive). */
    @ParameterizedTest
    @CsvSource({
        "0, 1, 1",
        "5, 1, 6",
        "0, 1, 100000",
        "0, 2, 100000",
        "1, 3, 100000",
        "16383, 1, 16386",
        "99999, 1, 100000"
    })
    void setsAreReadBackFromPiecesOfBoundedSize(int first, int step, int end) {
        BitSet set = new BitSet();
        for (int i = first; i < end; i += step) {
            set.set(i);
        }
        for (int maxCharacters : new int[] {4096, 921, 200}) {
            assertReadBack(set, maxCharacters);
        }
    }

    private static void assertReadBack(BitSet set, int maxCharacters) {
        List<String> pieces = CompletedTasks.encode(set, maxCharacters);
        BitSet read = new BitSet();
        for (String piece : pieces) {
            assertTrue(piece.length() <= Math.min(maxCharacters, 2731) + 16);
            CompletedTasks.decode(piece, read);
        }
        assertEquals(set, read);
    }
}
