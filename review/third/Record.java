import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** Record of a case: what was sent, answered and run, with the time since its start. Thread-safe. */
final class Record implements AutoCloseable {

    private static final double NANOS_PER_S = 1e9;

    private final long startedAtNanos = System.nanoTime();
    private final PrintWriter out;

    Record(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file, StandardCharsets.UTF_8));
    }

    /** Writes one line to the record and to the standard output. */
    synchronized void line(String format, Object... arguments) {
        double atS = (System.nanoTime() - startedAtNanos) / NANOS_PER_S;
        String text =
                String.format(Locale.ROOT, "%8.3f s  ", atS)
                        + String.format(Locale.ROOT, format, arguments);
        out.println(text);
        out.flush();
        System.out.println(text);
    }

    @Override
    public synchronized void close() {
        out.close();
    }
}
