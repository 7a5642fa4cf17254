import java.io.File;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** One router of the project, started with the command and the settings template of the deploy file. */
final class Router {
    private static final List<Router> ALL = new ArrayList<>();

    final String node;
    final InetSocketAddress front;
    final InetSocketAddress control;
    final InetSocketAddress directory;
    final InetSocketAddress ready;
    final InetSocketAddress metrics;
    final InetSocketAddress hints;
    private final Path folder;
    private final Path settings;
    private Process process;

    static {
        Runtime.getRuntime().addShutdownHook(new Thread(Router::killAll));
    }

    Router(Path folder, int number, InetSocketAddress store, String seeds, boolean firstStart) throws IOException {
        this.folder = folder;
        this.node = "front-a-" + number;
        String host = "127.0.0." + (10 + number);
        front = Http.freeAddress(host);
        control = Http.freeAddress(host);
        directory = Http.freeAddress(host);
        ready = Http.freeAddress(host);
        metrics = Http.freeAddress(host);
        hints = Http.freeAddress(host);
        settings = folder.resolve(node + ".ini");
        Map<String, String> values = Map.ofEntries(
                Map.entry("node", node),
                Map.entry("zone", "zone-a"),
                Map.entry("seeds", seeds.isEmpty() ? Http.format(control) : seeds),
                Map.entry("first_start", Boolean.toString(firstStart)),
                Map.entry("limits.cpu_share", "0.75"),
                Map.entry("limits.cores", "1"),
                Map.entry("limits.link_mbps", "1000.0"),
                Map.entry("listen.front", Http.format(front)),
                Map.entry("listen.control", Http.format(control)),
                Map.entry("listen.directory", Http.format(directory)),
                Map.entry("listen.ready_addr", Http.format(ready)),
                Map.entry("ip", host),
                Map.entry("internal_ports.0", Integer.toString(metrics.getPort())),
                Map.entry("internal_ports.1", Integer.toString(hints.getPort())),
                Map.entry("platform.address", Http.format(store)),
                Map.entry("bounds.retry_budget_ratio", "0.2"),
                Map.entry("bounds.budget_slack", "56"),
                Map.entry("bounds.budget_window_s", "10"),
                Map.entry("bounds.grace_s", "8"),
                Map.entry("bounds.lease_ms", "3000"),
                Map.entry("bounds.version_ms", "6000"));
        String text = Files.readString(Path.of("deploy/router.ini"));
        for (Map.Entry<String, String> e : values.entrySet()) {
            text = text.replace("{{" + e.getKey() + "}}", e.getValue());
        }
        Files.writeString(settings, text);
        ALL.add(this);
    }

    void start() throws IOException {
        String run = Files.readAllLines(Path.of("deploy/system.toml")).stream()
                .filter(l -> l.startsWith("run = "))
                .map(l -> l.substring(l.indexOf('"') + 1, l.lastIndexOf('"')))
                .findFirst()
                .orElseThrow();
        ProcessBuilder builder = new ProcessBuilder(run.split(" "));
        builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
        builder.environment().put("HORNBEAMHEAD_BOOT", settings.toString());
        File log = folder.resolve(node + ".log").toFile();
        builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log));
        process = builder.start();
    }

    void awaitReady() throws InterruptedException, IOException {
        long end = System.currentTimeMillis() + 20_000;
        while (System.currentTimeMillis() < end) {
            Http.Message answer = Http.call(ready, "GET /hornbeamhead/ready HTTP/1.1\r\nHost: x\r\n\r\n", 1_000);
            if (answer != null && answer.status() == 200) {
                return;
            }
            Thread.sleep(50);
        }
        throw new IOException("router " + node + " is not ready");
    }

    void kill() {
        if (process != null) {
            process.destroyForcibly();
        }
    }

    /** Starts routers and waits until they are ready. */
    static List<Router> startAll(Path folder, Store store, int count) throws IOException, InterruptedException {
        List<Router> routers = new ArrayList<>();
        for (int i = 1; i <= count; i++) {
            String seeds = routers.isEmpty() ? "" : Http.format(routers.get(0).control);
            routers.add(new Router(folder, i, store.address, seeds, true));
        }
        for (Router r : routers) {
            r.start();
        }
        for (Router r : routers) {
            r.awaitReady();
        }
        return routers;
    }

    static void killAll() {
        ALL.forEach(Router::kill);
    }
}
