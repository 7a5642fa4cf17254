import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** A sound store of the platform: items, leases, watches and transactions as PROTOCOL.md describes them. */
final class Store {
    private record Item(String key, String value, long rev, long created, long lease, boolean deleted) {
        String json() {
            return deleted
                    ? "{\"key\":" + Json.quote(key) + ",\"rev\":" + rev + ",\"deleted\":true}"
                    : "{\"key\":" + Json.quote(key) + ",\"value\":" + Json.quote(value) + ",\"rev\":" + rev
                            + ",\"created\":" + created + ",\"lease\":" + lease + "}";
        }
    }

    private static final class Lease {
        final long ttl;
        long ends;

        Lease(long ttl) {
            this.ttl = ttl;
        }
    }

    private final Map<String, Item> items = new TreeMap<>();
    private final List<Item> history = new ArrayList<>();
    private final Map<Long, Lease> leases = new HashMap<>();
    private long revision = 100;
    private long nextLease = 7_000;
    final InetSocketAddress address;

    Store() throws IOException {
        address = Http.freeAddress("127.0.0.1");
        Http.serve(address, this::handle);
        Http.daemon(() -> {
            while (true) {
                Thread.sleep(20);
                expire();
            }
        });
    }

    /** Writes an item for the operator or a server, and returns its revision. */
    synchronized long put(String key, String value) {
        return write(key, Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8)), 0);
    }

    synchronized void remove(String key) {
        if (items.containsKey(key)) {
            Item deleted = new Item(key, "", ++revision, 0, 0, true);
            items.remove(key);
            history.add(deleted);
            notifyAll();
        }
    }

    private long write(String key, String value, long lease) {
        long rev = ++revision;
        Item before = items.get(key);
        Item item = new Item(key, value, rev, before == null ? rev : before.created(), lease, false);
        items.put(key, item);
        history.add(item);
        notifyAll();
        return rev;
    }

    private synchronized void expire() {
        long now = System.nanoTime() / 1_000_000;
        new ArrayList<>(leases.keySet()).stream()
                .filter(l -> leases.get(l).ends <= now)
                .forEach(this::endLease);
    }

    private void endLease(long lease) {
        leases.remove(lease);
        new ArrayList<>(items.values())
                .stream().filter(i -> i.lease() == lease).forEach(i -> remove(i.key()));
    }

    private void handle(Http.Message request, Http.Connection connection) throws IOException, InterruptedException {
        String path = request.path().replace("/hornbeamhead/kv-", "");
        if (path.equals("watch")) {
            connection.json(200, watch(request));
            return;
        }
        String answer;
        synchronized (this) {
            answer = call(path, request);
        }
        connection.json(Integer.parseInt(answer.substring(0, 3)), answer.substring(3));
    }

    private synchronized String watch(Http.Message request) throws InterruptedException {
        String prefix = request.query("prefix");
        long after = Long.parseLong(request.query("after"));
        long end = System.currentTimeMillis() + Long.parseLong(request.query("wait_ms"));
        while (true) {
            List<String> events = new ArrayList<>();
            for (int i = history.size() - 1; i >= 0 && history.get(i).rev() > after; i--) {
                if (history.get(i).key().startsWith(prefix)) {
                    events.add(0, history.get(i).json());
                }
            }
            long left = end - System.currentTimeMillis();
            if (!events.isEmpty() || left <= 0) {
                return "{\"events\":[" + String.join(",", events) + "],\"store_revision\":" + revision + "}";
            }
            wait(left);
        }
    }

    private String call(String path, Http.Message request) {
        if (path.equals("key")) {
            Item item = items.get(request.query("key"));
            return item == null
                    ? "404{}"
                    : "200" + item.json().replaceFirst("}$", ",\"store_revision\":" + revision + "}");
        }
        if (path.equals("range")) {
            return "200" + range(request.query("prefix"), request.query("after"));
        }
        if (path.equals("txn")) {
            return commit(Json.object(request.text()));
        }
        if (path.equals("lease")) {
            long ttl = ((Double) Json.object(request.text()).get("ttl_ms")).longValue();
            Lease lease = new Lease(Math.max(1_000, ttl));
            lease.ends = System.nanoTime() / 1_000_000 + lease.ttl;
            leases.put(++nextLease, lease);
            return "200{\"lease\":" + nextLease + ",\"ttl_ms\":" + lease.ttl + "}";
        }
        long id = Long.parseLong(path.substring(path.indexOf('/') + 1));
        Lease lease = leases.get(id);
        if (lease == null) {
            return "404{}";
        }
        if (path.startsWith("keep/")) {
            lease.ends = System.nanoTime() / 1_000_000 + lease.ttl;
        } else {
            endLease(id);
        }
        return "200{\"ttl_ms\":" + lease.ttl + "}";
    }

    private String range(String prefix, String after) {
        List<String> page = new ArrayList<>();
        boolean more = false;
        for (Item item : items.values()) {
            if (item.key().startsWith(prefix) && item.key().compareTo(after) > 0) {
                more = page.size() == 500;
                if (more) {
                    break;
                }
                page.add(item.json());
            }
        }
        return "{\"items\":[" + String.join(",", page) + "],\"more_pages\":" + more + ",\"store_revision\":" + revision
                + "}";
    }

    @SuppressWarnings("unchecked")
    private String commit(Map<String, Object> body) {
        List<Map<String, Object>> expected = (List<Map<String, Object>>) body.getOrDefault("expected", List.of());
        List<Map<String, Object>> writes = (List<Map<String, Object>>) body.getOrDefault("writes", List.of());
        List<String> removals = (List<String>) body.getOrDefault("remove", List.of());
        boolean holds = expected.stream().allMatch(e -> {
            Item item = items.get((String) e.get("key"));
            return (item == null ? 0 : item.rev()) == ((Double) e.get("rev")).longValue();
        });
        if (!holds) {
            List<String> current = new ArrayList<>();
            expected.forEach(e -> {
                Item item = items.get((String) e.get("key"));
                current.add(item == null ? "{\"key\":" + Json.quote((String) e.get("key")) + ",\"rev\":0}" : item.json());
            });
            return "412{\"items\":[" + String.join(",", current) + "]}";
        }
        for (Map<String, Object> w : writes) {
            long lease = w.get("lease") == null ? 0 : ((Double) w.get("lease")).longValue();
            if (lease != 0 && !leases.containsKey(lease)) {
                return "404{}";
            }
        }
        writes.forEach(w -> write(
                (String) w.get("key"),
                (String) w.get("value"),
                w.get("lease") == null ? 0 : ((Double) w.get("lease")).longValue()));
        removals.forEach(this::remove);
        return "200{\"rev\":" + revision + "}";
    }
}
