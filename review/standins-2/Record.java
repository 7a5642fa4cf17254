import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.stream.Stream;

/** The record of a case: what was sent, answered and run, with the time since the start. */
final class Record {
    /** A case; it returns whether the rule was broken. */
    interface Play {
        boolean play(Record record, Path folder, boolean trouble) throws Exception;
    }

    private final PrintWriter out;
    private final long start = System.nanoTime();
    private boolean ended;

    private Record(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file));
    }

    synchronized void add(String text) {
        if (ended) {
            return;
        }
        out.printf("%7.3f %s%n", millis() / 1000.0, text);
        out.flush();
    }

    /** Adds a line that is also printed. */
    void report(String text) {
        add(text);
        System.out.println(text);
    }

    /** Adds the last line; what happens while the processes are ended is not recorded. */
    private synchronized void end(String verdict) {
        report(verdict);
        ended = true;
    }

    long millis() {
        return (System.nanoTime() - start) / 1_000_000;
    }

    void sleepUntil(long millis) throws InterruptedException {
        Thread.sleep(Math.max(0, millis - millis()));
    }

    /** Plays a case and exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. */
    static void run(String[] args, Play play) {
        int code = 2;
        try {
            boolean trouble = !"0".equals(System.getenv("TROUBLE"));
            Record record = new Record(Path.of(args[0], "record.txt"));
            Path folder = Files.createTempDirectory("hornbeam-review-");
            try {
                code = play.play(record, folder, trouble) ? 1 : 0;
                record.end(code == 1 ? "the rule was broken" : "the rule held");
            } finally {
                Router.killAll();
                if (System.getenv("KEEP") == null) {
                    delete(folder);
                } else {
                    System.out.println("logs: " + folder);
                }
            }
        } catch (Exception e) {
            e.printStackTrace();
        }
        System.exit(code);
    }

    private static void delete(Path folder) throws IOException {
        try (Stream<Path> files = Files.walk(folder)) {
            files.sorted(Comparator.reverseOrder()).forEach(f -> f.toFile().delete());
        }
    }
}
