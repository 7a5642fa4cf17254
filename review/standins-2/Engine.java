import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.stream.Collectors;

/**
 * A sound model replica: it serves models, runs streams, keeps the parts of prompts that it has read, and carries out
 * orders to load newer weights, as PROTOCOL.md describes it. It runs in the process of a case, or in one of its own.
 */
final class Engine {
    private static final long HEARTBEAT_MILLIS = 1_200;
    private static final long LOAD_MILLIS = 320;

    /** Observes the runs of all engines. */
    interface Observer {
        /** Called when a request begins to run; {@code cached} maps each part used from the cache to who made it. */
        void began(Engine engine, Http.Message request, Map<String, String> cached);
    }

    final String id;
    final InetSocketAddress address;
    private final Consumer<String> record;
    private final BiConsumer<String, String> entries;
    private final String service;
    private final Observer observer;
    private final Map<String, Long> models = new TreeMap<>();
    private final Map<String, Long> named;
    /** Who made a part: by salt, model and id. */
    private final Map<String, String> cache = new HashMap<>();

    private String loading = "";
    private int seq;
    private int running;
    private long beats;
    private int foreignOrders;
    private final long born = System.currentTimeMillis();
    private boolean draining;
    /** How many events a stream has, and the pause before each. */
    int events = 9;

    long pauseMillis = 10;
    /** Whether answers have no length and end with their connection. */
    boolean unframed;

    Engine(
            Consumer<String> record,
            BiConsumer<String, String> entries,
            String service,
            String id,
            List<String> models,
            Map<String, Long> named,
            Observer observer)
            throws IOException {
        this.record = record;
        this.entries = entries;
        this.service = service;
        this.id = id;
        this.address = Http.freeAddress("127.0.0.1");
        this.named = named;
        this.observer = observer;
        models.forEach(m -> this.models.put(m, 1L));
        Http.serve(address, this::handle);
        beat();
        Http.daemon(() -> {
            while (true) {
                Thread.sleep(HEARTBEAT_MILLIS);
                beat();
            }
        });
    }

    private synchronized String modelList() {
        return models.entrySet().stream()
                .map(e -> "{\"name\":\"" + e.getKey() + "\",\"version\":" + e.getValue() + ",\"adapters\":[]}")
                .collect(Collectors.joining(",", "[", "]"));
    }

    private synchronized void beat() {
        entries.accept(
                "servers/" + id,
                "{\"service\":\"" + service + "\",\"address\":\"" + Http.format(address)
                            + "\",\"zone\":\"zone-a\",\"version\":\"v1\",\"slots\":64,\"state\":\""
                            + (draining ? "draining" : "ready") + "\",\"cold_remaining_ms\":0,\"stage\":\"both\","
                            + "\"models\":" + modelList() + ",\"seq\":" + ++beats + ",\"born\":" + born + "}");
    }

    boolean serves(String model) {
        return models.containsKey(model);
    }

    synchronized long version(String model) {
        return models.get(model);
    }

    /** Returns how many orders came for a model that the replica does not serve. */
    synchronized int foreignOrders() {
        return foreignOrders;
    }

    /** Reports that it is leaving. It goes on to serve. */
    void drain() {
        draining = true;
        beat();
        record.accept(id + " reports draining");
    }

    private void handle(Http.Message request, Http.Connection connection) throws IOException, InterruptedException {
        String expected = request.header("X-Expect-Instance");
        if (!expected.isEmpty() && !expected.equals(id)) {
            connection.answer(421, "X-Instance-Id: " + id + "\r\n", "");
        } else if (request.path().equals("/health")) {
            connection.answer(draining ? 503 : 200, "X-Instance-Id: " + id + "\r\nX-Server-Load: 0,0,64\r\n", "");
        } else if (request.path().equals("/hornbeamhead/report")) {
            connection.json(200, report());
        } else if (request.path().equals("/hornbeamhead/order")) {
            order(request, connection);
        } else {
            run(request, connection);
        }
    }

    private synchronized String report() {
        return "{\"stage\":\"both\",\"state\":\"" + (draining ? "draining" : "ready") + "\",\"born\":" + born + ",\"models\":" + modelList()
                + ",\"busy\":" + !loading.isEmpty() + ",\"seq\":" + seq + ",\"queued\":0,\"in_flight\":" + running
                + ",\"kv_used\":0,\"kv_total\":94571,\"handles\":0}";
    }

    private void order(Http.Message request, Http.Connection connection) throws IOException {
        Map<String, Object> order = Json.object(request.text());
        int status = accept(order);
        record.accept(id + " order " + request.text() + " -> " + status);
        connection.json(status, "{}");
    }

    private synchronized int accept(Map<String, Object> order) {
        String model = String.valueOf(order.get("model"));
        long version = ((Double) order.getOrDefault("version", 0.0)).longValue();
        foreignOrders += models.containsKey(model) ? 0 : 1;
        if (order.get("holder") == null
                || order.get("fence") == null
                || !"version".equals(order.get("op"))
                || !models.containsKey(model)
                || version > named.getOrDefault(model, 1L)) {
            return 400;
        }
        if (models.get(model) == version) {
            return 200;
        }
        Object expected = order.get("expected");
        if (!loading.isEmpty() || (expected != null && ((Double) expected).longValue() != seq)) {
            return 409;
        }
        seq++;
        loading = model;
        Http.daemon(() -> load(model, version));
        return 202;
    }

    private void load(String model, long version) throws InterruptedException {
        synchronized (this) {
            while (running > 0) {
                wait(20);
            }
        }
        Thread.sleep(LOAD_MILLIS);
        synchronized (this) {
            models.put(model, version);
            cache.keySet().removeIf(k -> k.contains("/" + model + "/"));
            loading = "";
        }
        record.accept(id + " serves " + model + " version " + version);
        beat();
    }

    private void run(Http.Message request, Http.Connection connection) throws IOException, InterruptedException {
        String attempt = request.header("X-Attempt-Id");
        String model = request.header("X-Model");
        String echo = "X-Attempt-Id: " + attempt + "\r\n";
        long version;
        Map<String, String> cached;
        synchronized (this) {
            version = models.getOrDefault(model, 0L);
            String wanted = request.header("X-Expect-Version");
            if (version == 0) {
                record.accept(id + " rejects " + attempt + " of " + model + ", which it does not serve");
                connection.answer(400, echo + "X-Not-Executed: 1\r\n", "");
                return;
            }
            if (!wanted.isEmpty() && Long.parseLong(wanted) != version) {
                record.accept(id + " rejects " + attempt + " of " + model + ": it serves version " + version
                        + ", the request expects " + wanted);
                connection.answer(421, echo + "X-Instance-Id: " + id + "\r\n", "");
                return;
            }
            if (loading.equals(model)) {
                connection.answer(503, echo + "X-Not-Executed: 1\r\n", "");
                return;
            }
            running++;
            cached = useCache(request, model);
        }
        observer.began(this, request, cached);
        try {
            stream(connection, echo, attempt, version);
        } finally {
            synchronized (this) {
                running--;
            }
        }
    }

    /** Returns the parts at the beginning of the prompt that are kept already, and keeps the others. */
    private Map<String, String> useCache(Http.Message request, String model) {
        Map<String, String> cached = new TreeMap<>();
        List<String> missing = new ArrayList<>();
        for (String part : request.header("X-Prompt-Prefix").split(",")) {
            String key = request.header("X-Cache-Salt") + "/" + model + "/" + part.split(":")[0].trim();
            if (missing.isEmpty() && cache.containsKey(key)) {
                cached.put(key, cache.get(key));
            } else {
                missing.add(key);
            }
        }
        missing.forEach(k -> cache.put(k, request.header("X-Tenant") + " " + request.header("X-Attempt-Id")));
        return cached;
    }

    private void stream(Http.Connection connection, String echo, String attempt, long version)
            throws IOException, InterruptedException {
        connection.write("HTTP/1.1 200 OK\r\n" + echo + "X-Server-Stamp: " + id + "." + attempt
                + "\r\nX-Weight-Versions: " + version
                + "\r\nX-Server-Load: 1,0,64\r\nContent-Type: text/event-stream\r\n"
                + (unframed ? "Connection: close\r\n\r\n" : "Transfer-Encoding: chunked\r\n\r\n"));
        for (int i = 1; i <= events; i++) {
            Thread.sleep(pauseMillis);
            String event = "id: " + i + "\ndata: " + attempt + " " + i + " of " + events + "\n\n";
            connection.write(unframed ? event : Integer.toHexString(event.length()) + "\r\n" + event + "\r\n");
        }
        if (unframed) {
            connection.socket.close();
        } else {
            connection.write("0\r\n\r\n");
        }
    }
}
