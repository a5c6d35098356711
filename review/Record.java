package review;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Locale;

/** Record of what was sent, answered and run, with the time since its start. Thread-safe. */
final class Record implements AutoCloseable {

    private final PrintWriter out;
    private final long startNanos = System.nanoTime();

    Record(Path file) throws IOException {
        out = new PrintWriter(file.toFile(), StandardCharsets.UTF_8);
    }

    synchronized void write(String format, Object... values) {
        double seconds = (System.nanoTime() - startNanos) / 1e9;
        out.printf(Locale.ROOT, "%8.3f ", seconds);
        out.printf(Locale.ROOT, format, values);
        out.println();
        out.flush();
    }

    @Override
    public synchronized void close() {
        out.close();
    }
}
