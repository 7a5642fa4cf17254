import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** The platform's metadata store as PROTOCOL.md has it: revisions, watches, conditional writes and leases. */
final class Store implements AutoCloseable {
    static final ObjectMapper JSON = new ObjectMapper();
    private static final long TTL_MIN_MILLIS = 1_000;

    private record Item(String value, long rev, long created, long lease, boolean deleted) {}

    private record Lease(long ttlMillis, long endsAt) {}

    private final Map<String, Item> items = new TreeMap<>();
    private final Map<Long, Lease> leases = new HashMap<>();
    private final ExecutorService threads = Executors.newCachedThreadPool();
    private final HttpServer server;
    private final Record record;
    private long revision = 1;
    private long nextLease = 100;
    private long lateMillis;
    private int windowWrites;

    Store(Record record) throws IOException {
        this.record = record;
        server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 128);
        server.setExecutor(threads);
        server.createContext("/hornbeamhead/kv-", this::serve);
        server.start();
        Thread expiry = new Thread(this::expireForever);
        expiry.setDaemon(true);
        expiry.start();
    }

    String address() {
        return "127.0.0.1:" + server.getAddress().getPort();
    }

    /** Writes a key as the operator or a replica does. */
    synchronized long put(String key, String value) {
        return write(key, value, 0);
    }

    synchronized void remove(String key) {
        items.put(key, new Item("", ++revision, 0, 0, true));
        notifyAll();
    }

    /**
     * From now on the first conditional write for an absent key is carried out late and never answered, as a store may
     * do that loses answers. All other calls are served.
     */
    synchronized void loseOneWrite(long millis) {
        lateMillis = millis;
        windowWrites = 0;
    }

    /** Returns the writing calls of the routers since the loss began. */
    synchronized int writesSinceLoss() {
        return windowWrites;
    }

    /** Returns whether the write that is lost has come. */
    synchronized boolean hasLost() {
        return lateMillis < 0;
    }

    /** Returns the value of a key, or null. */
    synchronized String value(String key) {
        expire();
        Item item = items.get(key);
        return item == null || item.deleted() ? null : item.value();
    }

    private long write(String key, String value, long lease) {
        Item before = items.get(key);
        long rev = ++revision;
        items.put(key, new Item(value, rev, before == null || before.deleted() ? rev : before.created(), lease, false));
        notifyAll();
        return rev;
    }

    private void expireForever() {
        try {
            while (true) {
                Thread.sleep(5);
                expire();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private synchronized void expire() {
        long now = System.nanoTime() / 1_000_000;
        List<Long> over = leases.entrySet().stream()
                .filter(e -> e.getValue().endsAt() <= now)
                .map(Map.Entry::getKey)
                .toList();
        over.forEach(this::endLease);
    }

    private synchronized void endLease(long id) {
        if (leases.remove(id) != null) {
            List<String> keys = items.entrySet().stream()
                    .filter(e -> e.getValue().lease() == id && !e.getValue().deleted())
                    .map(Map.Entry::getKey)
                    .toList();
            keys.forEach(key -> {
                record.line("store: %s is removed, its lease is over", key);
                remove(key);
            });
        }
    }

    private void serve(HttpExchange exchange) throws IOException {
        try (exchange) {
            byte[] body = exchange.getRequestBody().readAllBytes();
            String operation = exchange.getRequestURI().getPath().substring("/hornbeamhead/kv-".length());
            Map<String, String> query = query(exchange.getRequestURI().getRawQuery());
            switch (operation) {
                case "key" -> key(exchange, query.get("key"));
                case "range" -> send(exchange, 200, range(query.getOrDefault("prefix", "")));
                case "watch" -> send(exchange, 200, watch(query));
                case "txn" -> transaction(exchange, JSON.readTree(body));
                case "lease" -> grant(exchange, JSON.readTree(body).path("ttl_ms").asLong());
                default -> lease(exchange, operation);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static Map<String, String> query(String raw) {
        Map<String, String> query = new HashMap<>();
        for (String pair : (raw == null ? "" : raw).split("&", -1)) {
            int equals = pair.indexOf('=');
            if (equals > 0) {
                query.put(
                        pair.substring(0, equals),
                        URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
            }
        }
        return query;
    }

    private static void send(HttpExchange exchange, int status, ObjectNode body) throws IOException {
        byte[] bytes = JSON.writeValueAsBytes(body);
        exchange.getResponseHeaders().set("Content-Type", "application/json");
        exchange.sendResponseHeaders(status, bytes.length);
        exchange.getResponseBody().write(bytes);
    }

    private void key(HttpExchange exchange, String key) throws IOException {
        ObjectNode reply = JSON.createObjectNode();
        int status = 404;
        synchronized (this) {
            expire();
            Item item = items.get(key);
            if (item != null && !item.deleted()) {
                status = 200;
                describe(reply, key, item);
            }
            reply.put("store_revision", revision);
        }
        send(exchange, status, reply);
    }

    private synchronized ObjectNode range(String prefix) {
        expire();
        ObjectNode all = JSON.createObjectNode();
        ArrayNode list = all.putArray("items");
        items.forEach((key, item) -> {
            if (!item.deleted() && key.startsWith(prefix)) {
                describe(list.addObject(), key, item);
            }
        });
        return all.put("more_pages", false).put("store_revision", revision);
    }

    private synchronized ObjectNode watch(Map<String, String> query) throws InterruptedException {
        long after = Long.parseLong(query.get("after"));
        String prefix = query.getOrDefault("prefix", "");
        long end = System.nanoTime() / 1_000_000 + Long.parseLong(query.get("wait_ms"));
        while (true) {
            expire();
            ObjectNode changes = JSON.createObjectNode();
            ArrayNode list = changes.putArray("events");
            items.forEach((key, item) -> {
                if (item.rev() > after && key.startsWith(prefix)) {
                    describe(list.addObject(), key, item);
                }
            });
            long left = end - System.nanoTime() / 1_000_000;
            if (!list.isEmpty() || left <= 0) {
                return changes.put("store_revision", revision);
            }
            wait(Math.min(left, 50));
        }
    }

    private static void describe(ObjectNode node, String key, Item item) {
        node.put("key", key).put("rev", item.rev());
        if (item.deleted()) {
            node.put("deleted", true);
        } else {
            byte[] value = item.value().getBytes(StandardCharsets.UTF_8);
            node.put("value", Base64.getEncoder().encodeToString(value))
                    .put("created", item.created())
                    .put("lease", item.lease());
        }
    }

    private void transaction(HttpExchange exchange, JsonNode transaction) throws IOException {
        if (isLost(transaction)) {
            return;
        }
        ObjectNode reply = JSON.createObjectNode();
        int status = execute(transaction, reply);
        send(exchange, status, reply);
    }

    private synchronized boolean isLost(JsonNode transaction) {
        windowWrites++;
        if (lateMillis <= 0 || transaction.path("expected").path(0).path("rev").asLong(-1) != 0) {
            return false;
        }
        long millis = lateMillis;
        lateMillis = -1;
        record.line("store: a write is not answered, and is carried out %d ms later: %s", millis, transaction);
        threads.execute(() -> {
            try {
                Thread.sleep(millis);
                int status = execute(transaction, JSON.createObjectNode());
                record.line("store: the late write is carried out: %d", status);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        return true;
    }

    private int execute(JsonNode transaction, ObjectNode reply) {
        int status;
        synchronized (this) {
            expire();
            status = check(transaction, reply);
            if (status == 200) {
                transaction.path("remove").forEach(key -> remove(key.asText()));
                for (JsonNode write : transaction.path("writes")) {
                    String key = write.path("key").asText();
                    byte[] value = Base64.getDecoder().decode(write.path("value").asText());
                    write(key, new String(value, StandardCharsets.UTF_8), write.path("lease").asLong());
                    if (key.contains("/duty/")) {
                        record.line("store: %s is written: %s", key, new String(value, StandardCharsets.UTF_8));
                    }
                }
                reply.put("rev", revision);
            }
        }
        return status;
    }

    private int check(JsonNode transaction, ObjectNode reply) {
        boolean holds = true;
        for (JsonNode expected : transaction.path("expected")) {
            Item current = items.get(expected.path("key").asText());
            holds &= (current == null || current.deleted() ? 0 : current.rev())
                    == expected.path("rev").asLong();
        }
        if (!holds) {
            ArrayNode list = reply.putArray("items");
            transaction.path("expected").forEach(expected -> {
                String key = expected.path("key").asText();
                Item current = items.get(key);
                if (current == null || current.deleted()) {
                    list.addObject().put("key", key).put("rev", 0);
                } else {
                    describe(list.addObject(), key, current);
                }
            });
            return 412;
        }
        for (JsonNode write : transaction.path("writes")) {
            long lease = write.path("lease").asLong();
            if (lease != 0 && !leases.containsKey(lease)) {
                return 404;
            }
        }
        return 200;
    }

    private void grant(HttpExchange exchange, long wanted) throws IOException {
        long ttl = Math.max(TTL_MIN_MILLIS, wanted);
        ObjectNode reply = JSON.createObjectNode();
        synchronized (this) {
            windowWrites++;
            leases.put(++nextLease, new Lease(ttl, System.nanoTime() / 1_000_000 + ttl));
            reply.put("lease", nextLease).put("ttl_ms", ttl);
        }
        send(exchange, 200, reply);
    }

    private void lease(HttpExchange exchange, String operation) throws IOException {
        long id = Long.parseLong(operation.substring(operation.indexOf('/') + 1));
        int status = 200;
        synchronized (this) {
            expire();
            Lease lease = leases.get(id);
            if (lease == null) {
                status = 404;
            } else if (operation.startsWith("keep/")) {
                leases.put(id, new Lease(lease.ttlMillis(), System.nanoTime() / 1_000_000 + lease.ttlMillis()));
            } else {
                endLease(id);
            }
        }
        send(exchange, status, JSON.createObjectNode().put("lease", id));
    }

    @Override
    public void close() {
        server.stop(0);
        threads.shutdownNow();
    }
}
