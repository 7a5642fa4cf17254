import java.io.BufferedReader;
import java.io.File;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.List;
import java.util.Map;

/** A model replica as a process of its own, which a case can kill. Its log goes into the record of the case. */
final class EngineProcess {
    final String id;
    private final Record record;
    private final Process process;

    EngineProcess(Record record, Store store, String id, int events, long pauseMillis, boolean unframed)
            throws IOException {
        this.record = record;
        this.id = id;
        String java = System.getProperty("java.home") + File.separator + "bin" + File.separator + "java";
        process = new ProcessBuilder(
                        java,
                        "-Xmx64m",
                        "-XX:+UseSerialGC",
                        "-cp",
                        System.getProperty("java.class.path"),
                        "EngineProcess",
                        Http.format(store.address),
                        id,
                        Integer.toString(events),
                        Long.toString(pauseMillis),
                        Boolean.toString(unframed))
                .redirectError(ProcessBuilder.Redirect.INHERIT)
                .start();
        Runtime.getRuntime().addShutdownHook(new Thread(process::destroyForcibly));
        BufferedReader log = new BufferedReader(new InputStreamReader(process.getInputStream()));
        Http.daemon(() -> {
            for (String line = log.readLine(); line != null; line = log.readLine()) {
                record.add(line);
            }
        });
    }

    void drain() throws IOException {
        process.getOutputStream().write("drain\n".getBytes(StandardCharsets.US_ASCII));
        process.getOutputStream().flush();
    }

    void kill() {
        process.destroyForcibly();
        record.add(id + " is gone (SIGKILL)");
    }

    public static void main(String[] args) throws Exception {
        String[] store = args[0].split(":");
        InetSocketAddress address = new InetSocketAddress(store[0], Integer.parseInt(store[1]));
        Engine engine = new Engine(
                System.out::println,
                (key, value) -> write(address, key, value),
                "lm-pool",
                args[1],
                List.of("ma"),
                Map.of("ma", 1L),
                (e, r, c) -> System.out.println(e.id + " runs " + r.header("X-Attempt-Id")));
        engine.events = Integer.parseInt(args[2]);
        engine.pauseMillis = Long.parseLong(args[3]);
        engine.unframed = Boolean.parseBoolean(args[4]);
        BufferedReader orders = new BufferedReader(new InputStreamReader(System.in));
        for (String line = orders.readLine(); line != null; line = orders.readLine()) {
            engine.drain();
        }
    }

    private static void write(InetSocketAddress store, String key, String value) {
        String body = "{\"expected\":[],\"writes\":[{\"key\":" + Json.quote(key) + ",\"value\":\""
                + Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8))
                + "\",\"lease\":0}],\"remove\":[]}";
        Http.call(
                store,
                "POST /hornbeamhead/kv-txn HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: "
                        + body.length() + "\r\n\r\n" + body,
                1_000);
    }
}
