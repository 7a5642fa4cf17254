import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** A router process, started with the command and the settings template of the deploy file. */
final class Router {
    final String node;
    final String ip;
    final Map<String, Integer> ports;
    private final String settings;
    private final Path folder;
    private Process process;
    private int starts;

    Router(String node, String ip, String store, Path folder) throws IOException {
        this.node = node;
        this.ip = ip;
        this.folder = folder;
        this.ports = freePorts(ip);
        String text = Files.readString(Path.of("deploy/router.ini"));
        Map<String, String> values = Map.ofEntries(
                Map.entry("node", node),
                Map.entry("zone", "bkk-dusit"),
                Map.entry("seeds", ""),
                Map.entry("first_start", "true"),
                Map.entry("limits.cpu_share", "0.75"),
                Map.entry("limits.cores", "1"),
                Map.entry("limits.link_mbps", "1000.0"),
                Map.entry("listen.front", ip + ":" + ports.get("front")),
                Map.entry("listen.control", ip + ":" + ports.get("control")),
                Map.entry("listen.directory", ip + ":" + ports.get("directory")),
                Map.entry("listen.ready_addr", ip + ":" + ports.get("ready")),
                Map.entry("ip", ip),
                Map.entry("internal_ports.0", "" + ports.get("metrics")),
                Map.entry("internal_ports.1", "" + ports.get("hints")),
                Map.entry("platform.address", store),
                Map.entry("bounds.retry_budget_ratio", "0.2"),
                Map.entry("bounds.budget_slack", "56"),
                Map.entry("bounds.budget_window_s", "10"),
                Map.entry("bounds.grace_s", "8"),
                Map.entry("bounds.lease_ms", "3000"),
                Map.entry("bounds.version_ms", "6000"));
        for (Map.Entry<String, String> e : values.entrySet()) {
            text = text.replace("{{" + e.getKey() + "}}", e.getValue());
        }
        this.settings = text;
    }

    private static Map<String, Integer> freePorts(String ip) throws IOException {
        List<ServerSocket> sockets = new ArrayList<>();
        try {
            List<String> names = List.of("front", "control", "directory", "ready", "metrics", "hints");
            Map<String, Integer> ports = new java.util.HashMap<>();
            for (String name : names) {
                ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(ip));
                sockets.add(socket);
                ports.put(name, socket.getLocalPort());
            }
            return ports;
        } finally {
            for (ServerSocket socket : sockets) {
                socket.close();
            }
        }
    }

    void start() throws IOException {
        String line = Files.readAllLines(Path.of("deploy/system.toml")).stream()
                .filter(l -> l.startsWith("run = "))
                .findFirst()
                .orElseThrow();
        String command = line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
        Path file = folder.resolve(node + ".ini");
        Files.writeString(file, settings);
        ProcessBuilder builder = new ProcessBuilder(command.split(" "));
        builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
        builder.environment().put("HORNBEAMHEAD_BOOT", file.toString());
        File log = folder.resolve(node + "." + ++starts + ".log").toFile();
        builder.redirectErrorStream(true).redirectOutput(log);
        Process started = builder.start();
        process = started;
        Runtime.getRuntime().addShutdownHook(new Thread(started::destroyForcibly));
    }

    boolean isAlive() {
        return process.isAlive();
    }

    boolean isReady() {
        try {
            return Http.get(ip, ports.get("ready"), "/hornbeamhead/ready") == 200;
        } catch (IOException e) {
            return false;
        }
    }

    void awaitReady() throws InterruptedException {
        long end = System.nanoTime() + 20_000_000_000L;
        while (!isReady()) {
            if (System.nanoTime() > end) {
                throw new Unusable("router " + node + " is not ready");
            }
            Thread.sleep(50);
        }
    }

    void signal(String name) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
    }

    void kill() {
        if (process != null) {
            process.destroyForcibly();
        }
    }

    void end() throws IOException, InterruptedException {
        if (process != null && process.isAlive()) {
            signal("CONT");
            process.destroyForcibly();
            process.waitFor(5, TimeUnit.SECONDS);
        }
    }
}
