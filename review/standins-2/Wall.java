import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/** A tenant becomes isolated after its requests have filled the caches of the replicas. */
final class Wall {
    private static final long CHANGE_MILLIS = 5_000;
    private static final long CONFIG_APPLY_MILLIS = 2_000;

    private Wall() {}

    public static void main(String[] args) {
        Record.run(args, Wall::play);
    }

    private static boolean play(Record record, Path folder, boolean trouble) throws Exception {
        Store store = new Store();
        store.put("op/version/ma", "{\"model\":\"ma\",\"version\":1}");
        String route = Config.streamRoute("query", true, 2, 12_000, 500);
        store.put("op/config", Config.oneModel(7, route, false));
        AtomicInteger runs = new AtomicInteger();
        AtomicInteger broken = new AtomicInteger();
        long[] inForce = {Long.MAX_VALUE};
        List<Engine> engines = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            engines.add(new Engine(record::add, store::put, "lm-pool", "i-7f3a910" + i, List.of("ma"), Map.of("ma", 1L), (e, r, c) -> {
                String tenant = r.header("X-Tenant");
                List<String> foreign = c.entrySet().stream()
                        .filter(p -> !p.getValue().startsWith(tenant + " "))
                        .map(p -> p.getKey() + " made by " + p.getValue())
                        .toList();
                record.add(e.id + " runs " + r.header("X-Attempt-Id") + " of " + tenant + ", salt "
                        + r.header("X-Cache-Salt") + ", cached parts of others: " + foreign);
                if (record.millis() >= inForce[0]) {
                    runs.incrementAndGet();
                    if (trouble && !foreign.isEmpty()) {
                        broken.incrementAndGet();
                    }
                }
            }));
        }
        List<Router> routers = Router.startAll(folder, store, 2);
        Thread.sleep(3_000);
        long start = record.millis();
        send(record, routers, 0, start + CHANGE_MILLIS, "key2");
        Thread.sleep(500);
        store.put("op/config", Config.oneModel(9, route, trouble));
        record.report("version 9 of the configuration is acknowledged, t2 isolated: " + trouble);
        inForce[0] = record.millis() + CONFIG_APPLY_MILLIS;
        record.sleepUntil(inForce[0] + 1_000);
        send(record, routers, 10_000, record.millis() + 5_000, "key1");
        send(record, routers, 20_000, record.millis() + 2_000, "key2");
        Thread.sleep(1_000);
        record.report("requests run in force of version 9: " + runs
                + ", with parts that a request of another tenant made, one of the two isolated: " + broken);
        return broken.get() > 0;
    }

    private static void send(Record record, List<Router> routers, int first, long until, String key)
            throws InterruptedException {
        for (int i = first; record.millis() < until; i++) {
            int n = i;
            Http.daemon(() -> {
                String id = String.format("%016x", 0x9c41_0000L + n);
                Http.Message answer = Http.call(
                        routers.get(n % routers.size()).front,
                        "POST /query/x HTTP/1.1\r\nHost: a.example\r\nConnection: close\r\nX-Attempt-Id: " + id
                                + "\r\nX-Model: ma\r\nX-Token-Counts: 826,49\r\nX-Prompt-Prefix: "
                                + Integer.toHexString(n % 4 + 1) + "a:119," + Integer.toHexString(n % 16 + 4096)
                                + ":79," + Integer.toHexString(n + 65536)
                                + ":628\r\nX-Deadline-Ms: 12000\r\nAuthorization: Bearer " + key
                                + "\r\nContent-Length: 2\r\n\r\nhi",
                        13_000);
                record.add("answer to " + id + " with " + key + ": "
                        + (answer == null ? "none" : answer.status() + ", complete=" + answer.complete));
            });
            Thread.sleep(50);
        }
    }
}
