import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

/** What the cases share. */
final class Cases {
    private Cases() {}

    static void delete(Path folder) throws IOException {
        if (Boolean.getBoolean("keep")) {
            System.out.println("logs: " + folder);
            return;
        }
        List<Path> files;
        try (Stream<Path> all = Files.walk(folder)) {
            files = all.sorted(Comparator.reverseOrder()).toList();
        }
        for (Path file : files) {
            Files.delete(file);
        }
    }
}
