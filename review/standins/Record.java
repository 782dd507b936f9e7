import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** What was sent, answered and run, one line each with the seconds since the start. */
final class Record {
    private static final long START = System.nanoTime();
    private static PrintWriter out;

    private Record() {}

    static void open(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file));
    }

    /** Seconds since the start of the case, on the steady clock. */
    static double now() {
        return (System.nanoTime() - START) / 1e9;
    }

    static synchronized void line(String format, Object... arguments) {
        out.printf(Locale.ROOT, "%8.3f ", now());
        out.printf(Locale.ROOT, format, arguments);
        out.println();
        out.flush();
    }

    static void sleepUntil(double time) throws InterruptedException {
        double left = time - now();
        if (left > 0) {
            Thread.sleep((long) (left * 1000));
        }
    }
}
