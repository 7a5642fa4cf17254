import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** What was sent, answered and run, one line an event, with milliseconds since the start of the case. */
final class Record implements AutoCloseable {
    private final PrintWriter out;
    private final long start = System.nanoTime();

    Record(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file), true);
    }

    long millis() {
        return (System.nanoTime() - start) / 1_000_000;
    }

    synchronized void line(String format, Object... args) {
        out.printf("%7d ", millis());
        out.printf(format, args);
        out.println();
    }

    @Override
    public void close() {
        out.close();
    }
}
