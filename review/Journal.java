import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

/** Writes what was sent, answered and run, with the time since the start of the case. */
final class Journal implements AutoCloseable {

    private final PrintWriter out;
    private final long startNs = System.nanoTime();

    Journal(Path folder) throws IOException {
        out =
                new PrintWriter(
                        Files.newBufferedWriter(
                                folder.resolve("record.txt"), StandardCharsets.UTF_8));
    }

    synchronized void write(String format, Object... values) {
        long ms = (System.nanoTime() - startNs) / 1_000_000;
        out.println("%7d ms  ".formatted(ms) + format.formatted(values));
        out.flush();
    }

    @Override
    public void close() {
        out.close();
    }
}
