import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Two models, each on the replicas of a service of its own; newer weights of one are named, then of the other. With
 * SHARED=1 all replicas serve both models.
 */
final class TwoModels {
    private static final int ENGINES = 8;
    private static final long VERSION_MILLIS = 6_000;
    private static final long FIRST_MILLIS = 4_000;
    private static final long SECOND_MILLIS = 14_000;

    private TwoModels() {}

    public static void main(String[] args) {
        Record.run(args, TwoModels::play);
    }

    private static boolean play(Record record, Path folder, boolean trouble) throws Exception {
        boolean shared = "1".equals(System.getenv("SHARED"));
        Store store = new Store();
        Map<String, Long> named = new ConcurrentHashMap<>(Map.of("ma", 1L, "mb", 1L));
        store.put("op/version/ma", "{\"model\":\"ma\",\"version\":1}");
        store.put("op/version/mb", "{\"model\":\"mb\",\"version\":1}");
        store.put("op/config", Config.twoModels(7, shared));
        List<Engine> engines = new ArrayList<>();
        for (int i = 0; i < ENGINES; i++) {
            boolean first = i < ENGINES / 2;
            engines.add(new Engine(
                    record::add,
                    store::put,
                    shared || first ? "lm-pool" : "lm-second",
                    "i-7f3a910" + i,
                    shared ? List.of("ma", "mb") : List.of(first ? "ma" : "mb"),
                    named,
                    (e, r, c) -> {}));
        }
        List<Router> routers = Router.startAll(folder, store, 3);
        Thread.sleep(3_000);
        long start = record.millis();
        Map<String, AtomicInteger> answers = new TreeMap<>();
        Http.daemon(() -> traffic(record, routers, answers, start));
        record.sleepUntil(start + FIRST_MILLIS);
        if (trouble) {
            name(record, store, named, "ma");
        }
        record.sleepUntil(start + SECOND_MILLIS);
        name(record, store, named, "mb");
        record.sleepUntil(start + SECOND_MILLIS + 2 * VERSION_MILLIS);
        synchronized (answers) {
            answers.forEach((k, n) -> record.report(k + ": " + n));
        }
        List<Engine> serving = engines.stream().filter(e -> e.serves("mb")).toList();
        long older = serving.stream().filter(e -> e.version("mb") < 2).count();
        record.report("orders for a model that the replica does not serve: "
                + engines.stream().mapToInt(Engine::foreignOrders).sum());
        record.report("replicas with an older version of mb " + 2 * VERSION_MILLIS + " ms after version 2 was named: "
                + older + " of " + serving.size());
        return older > 1 && older * 10 > serving.size();
    }

    private static void name(Record record, Store store, Map<String, Long> named, String model) {
        named.put(model, 2L);
        store.put("op/version/" + model, "{\"model\":\"" + model + "\",\"version\":2}");
        record.report("version 2 of " + model + " is named");
    }

    private static void traffic(Record record, List<Router> routers, Map<String, AtomicInteger> answers, long start)
            throws Exception {
        for (int i = 0; ; i++) {
            int n = i;
            String model = i % 2 == 0 ? "ma" : "mb";
            Router router = routers.get(i / 2 % routers.size());
            Http.daemon(() -> {
                String id = String.format("%016x", 0x9c41_0000L + n);
                long sent = record.millis() - start;
                Http.Message answer = Http.call(
                        router.front,
                        "POST /" + model + "/x HTTP/1.1\r\nHost: a.example\r\nConnection: close\r\nX-Attempt-Id: " + id
                                + "\r\nX-Model: " + model + "\r\nX-Token-Counts: 700,49\r\nX-Prompt-Prefix: " + model
                                + "01:119," + Integer.toHexString(n % 40 + 256) + ":79,"
                                + Integer.toHexString(n + 65536)
                                + ":500\r\nX-Deadline-Ms: 12000\r\nAuthorization: Bearer key1\r\nContent-Length: 2\r\n"
                                + "\r\nhi",
                        13_000);
                String status = answer == null ? "no answer" : answer.complete ? "" + answer.status() : "cut";
                record.add("request " + id + " of " + model + " -> " + status);
                String phase = sent < FIRST_MILLIS
                        ? "0 to 4 s"
                        : sent < SECOND_MILLIS
                                ? "4 to 14 s"
                                : sent < SECOND_MILLIS + VERSION_MILLIS ? "from 14 to 20 s" : "from 20 s on";
                synchronized (answers) {
                    answers.computeIfAbsent("requests of " + model + " sent " + phase + " -> " + status, k ->
                                    new AtomicInteger())
                            .incrementAndGet();
                }
            });
            Thread.sleep(25);
        }
    }
}
