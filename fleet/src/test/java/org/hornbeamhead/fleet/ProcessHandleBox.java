package org.hornbeamhead.fleet;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/** One program of the system or one stand-in, started by a test as a process of its own. */
final class ProcessHandleBox {
    /** What a program's log says of an error that nothing caught. */
    private static final String UNCAUGHT = "nothing caught an error";

    private static final Pattern ADDRESS = Pattern.compile("(http|peer)=([0-9.:]+)");

    private final Process process;
    private final Path log;
    private String http = "";
    private String peer = "";

    private ProcessHandleBox(Process process, Path log) {
        this.process = process;
        this.log = log;
    }

    /** Starts a program; its logs go to a file. */
    static ProcessHandleBox start(Path log, Class<?> main, String... args) throws IOException {
        List<String> command = new ArrayList<>(List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-enableassertions",
                "-Xmx96m",
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1",
                "-Xshare:auto",
                "-cp",
                System.getProperty("java.class.path"),
                main.getName()));
        command.addAll(List.of(args));
        Process process =
                new ProcessBuilder(command).redirectError(log.toFile()).start();
        return new ProcessHandleBox(process, log);
    }

    /** Waits until the program says that it serves. */
    ProcessHandleBox awaitReady() throws IOException {
        BufferedReader out =
                new BufferedReader(new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8));
        for (String line = out.readLine(); line != null; line = out.readLine()) {
            if (line.startsWith("READY")) {
                Matcher m = ADDRESS.matcher(line);
                while (m.find()) {
                    if (m.group(1).equals("http")) {
                        http = m.group(2);
                    } else {
                        peer = m.group(2);
                    }
                }
                return this;
            }
        }
        throw new IOException("the program ended before it served; see " + log);
    }

    /** Runs a program to its end and gives its exit code. */
    int awaitEnd() throws InterruptedException {
        return process.waitFor();
    }

    String output() throws IOException {
        return new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
    }

    String http() {
        return http;
    }

    String peer() {
        return peer;
    }

    Path log() {
        return log;
    }

    /** Ends the process at once, as a crash of its host would. */
    void kill() throws InterruptedException {
        process.destroyForcibly();
        process.waitFor();
    }

    /** Asks the process to end, as a planned restart does. */
    void terminate() {
        process.destroy();
    }

    /** Stops the process in its tracks, unaware of it. */
    void freeze() throws IOException, InterruptedException {
        signal("-STOP");
    }

    void thaw() throws IOException, InterruptedException {
        signal("-CONT");
    }

    private void signal(String name) throws IOException, InterruptedException {
        new ProcessBuilder("kill", name, Long.toString(process.pid())).start().waitFor();
    }

    /** Finds what the program's log tells of errors that nothing caught. */
    Stream<String> uncaughtErrors() {
        try {
            return Files.readAllLines(log).stream().filter(l -> l.contains(UNCAUGHT));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    boolean isAlive() {
        return process.isAlive();
    }

    /** Counts the open files and sockets of the process. */
    long openDescriptors() throws IOException {
        try (Stream<Path> descriptors = Files.list(Path.of("/proc", Long.toString(process.pid()), "fd"))) {
            return descriptors.count();
        }
    }
}
