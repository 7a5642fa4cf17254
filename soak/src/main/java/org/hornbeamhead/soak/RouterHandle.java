package org.hornbeamhead.soak;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.hornbeamhead.platform.StandinDocuments;
import org.hornbeamhead.platform.StandinPorts;

/** A router as a process of its own, and the signals that it gets. */
final class RouterHandle {
    private static final String MAIN_CLASS = "org.hornbeamhead.platform.PlatformRouterMain";
    /** What a router's log says of an error that nothing caught. */
    private static final String UNCAUGHT = "nothing caught an error";

    private static final int PORTS = 6;
    private static final int PEERS = 1;
    private static final int DIRECTORY = 2;
    private static final int HINTS = 4;

    private final String name;
    private final Path log;
    private final int[] ports = new int[PORTS];
    private final Path settings;
    private final String restartSettings;
    private final ProcessBuilder builder;
    private Process process;
    private int started;

    RouterHandle(String name, int storePort, Path directory, String... seeds) throws IOException {
        this.name = name;
        for (int i = 0; i < PORTS; i++) {
            ports[i] = StandinPorts.drawFreePort();
        }
        log = directory.resolve(name + ".log");
        settings = directory.resolve(name + ".ini");
        restartSettings = StandinDocuments.settings(name, ports, "127.0.0.1:" + storePort, seeds);
        String java = Path.of(System.getProperty("java.home"), "bin", "java").toString();
        builder = new ProcessBuilder(
                java,
                "-enableassertions",
                "-Xmx64m",
                "-Xss256k",
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1",
                "-cp",
                System.getProperty("java.class.path"),
                MAIN_CLASS,
                "--settings",
                settings.toString());
        builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
    }

    synchronized void start() throws IOException {
        if (process == null || !process.isAlive()) {
            Files.writeString(settings, started == 0 ? atFirstStart(restartSettings) : restartSettings);
            process = builder.start();
            started++;
        }
    }

    private static String atFirstStart(String settings) {
        return settings.replace("[router]\n", "[router]\nfirst-start = true\n");
    }

    String name() {
        return name;
    }

    Path log() {
        return log;
    }

    /** Finds what the log of all processes so far tells of errors that nothing caught. */
    List<String> uncaughtErrors() throws IOException {
        try (Stream<String> lines = Files.lines(log)) {
            return lines.filter(l -> l.contains(UNCAUGHT)).toList();
        }
    }

    /** The number of the process, from 1. */
    synchronized int process() {
        return started;
    }

    /** Returns whether a connection to the address for callers opens. */
    boolean acceptsCallers() {
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), callers())) {
            return socket.isConnected();
        } catch (IOException e) {
            return false;
        }
    }

    int callers() {
        return ports[0];
    }

    int peers() {
        return ports[PEERS];
    }

    int hints() {
        return ports[HINTS];
    }

    int directory() {
        return ports[DIRECTORY];
    }

    /** Sends a signal to the process, if it lives. */
    synchronized void signal(String signal) throws IOException, InterruptedException {
        if (process != null && process.isAlive()) {
            new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid()))
                    .start()
                    .waitFor();
        }
    }

    /** Waits for the end of the process; one that goes on is killed. */
    void awaitEnd(long millis) throws InterruptedException {
        Process p;
        synchronized (this) {
            p = process;
        }
        if (p != null && !p.waitFor(millis, TimeUnit.MILLISECONDS)) {
            p.destroyForcibly().waitFor();
        }
    }

    synchronized void kill() throws InterruptedException {
        if (process != null) {
            process.destroyForcibly().waitFor();
        }
    }
}
