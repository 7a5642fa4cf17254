import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** The store lists a replica of a service that the configuration does not name, while newer weights are named. */
final class ForeignEntry {
    private static final int ENGINES = 8;
    private static final long HEARTBEAT_MILLIS = 1_200;
    private static final long VERSION_MILLIS = 6_000;
    private static final long[] NAMED_MILLIS = {3_000, 15_000};

    private ForeignEntry() {}

    public static void main(String[] args) {
        Record.run(args, ForeignEntry::play);
    }

    private static boolean play(Record record, Path folder, boolean trouble) throws Exception {
        Store store = new Store();
        Map<String, Long> named = new ConcurrentHashMap<>(Map.of("ma", 1L));
        store.put("op/version/ma", "{\"model\":\"ma\",\"version\":1}");
        store.put("op/config", Config.oneModel(7, Config.streamRoute("query", true, 2, 12_000, 500), false));
        List<Engine> engines = new ArrayList<>();
        for (int i = 0; i < ENGINES; i++) {
            engines.add(new Engine(
                    record::add, store::put, "lm-pool", "i-7f3a910" + i, List.of("ma"), named, (e, r, c) -> {}));
        }
        if (trouble) {
            writeForeignEntry(record, store);
        }
        List<Router> routers = Router.startAll(folder, store, 3);
        Thread.sleep(3_000);
        long start = record.millis();
        Map<String, AtomicInteger> answers = new TreeMap<>();
        Http.daemon(() -> traffic(record, routers, answers, start));
        for (int i = 0; i < NAMED_MILLIS.length; i++) {
            long version = i + 2;
            record.sleepUntil(start + NAMED_MILLIS[i]);
            named.put("ma", version);
            store.put("op/version/ma", "{\"model\":\"ma\",\"version\":" + version + "}");
            record.report("version " + version + " of ma is named");
            record.sleepUntil(start + NAMED_MILLIS[i] + 2 * VERSION_MILLIS);
            record.report(2 * VERSION_MILLIS + " ms later the replicas have the versions "
                    + engines.stream().map(e -> e.version("ma")).toList());
        }
        synchronized (answers) {
            answers.forEach((k, n) -> record.report(k + ": " + n));
        }
        long newest = NAMED_MILLIS.length + 1;
        long older = engines.stream().filter(e -> e.version("ma") < newest).count();
        record.report("replicas with an older version than " + newest + ": " + older + " of " + ENGINES);
        return older > 1 && older * 10 > ENGINES;
    }

    /** Another writer checks in an entry of a service that the configuration does not name; nobody answers there. */
    private static void writeForeignEntry(Record record, Store store) throws IOException {
        String address = Http.format(Http.freeAddress("127.0.0.1"));
        long born = System.currentTimeMillis();
        Http.daemon(() -> {
            for (int seq = 1; ; seq++) {
                String entry = "{\"service\":\"zuko9\",\"address\":\"" + address
                        + "\",\"zone\":\"zone-a\",\"version\":\"v1\",\"slots\":64,\"state\":\"ready\","
                        + "\"cold_remaining_ms\":0,\"stage\":\"both\",\"models\":[{\"name\":\"ma\",\"version\":1,"
                        + "\"adapters\":[]}],\"seq\":" + seq + ",\"born\":" + born + "}";
                store.put("servers/i-02d9e6b4", entry);
                if (seq == 1) {
                    record.add("servers/i-02d9e6b4 is written: " + entry);
                }
                Thread.sleep(HEARTBEAT_MILLIS);
            }
        });
    }

    private static void traffic(Record record, List<Router> routers, Map<String, AtomicInteger> answers, long start)
            throws Exception {
        for (int i = 0; ; i++) {
            int n = i;
            Http.daemon(() -> {
                String id = String.format("%016x", 0x9c41_0000L + n);
                long sent = record.millis() - start;
                String phase = sent < NAMED_MILLIS[0]
                        ? "before version 2 is named"
                        : sent < NAMED_MILLIS[1] ? "before version 3 is named" : "then";
                Http.Message answer = Http.call(
                        routers.get(n % routers.size()).front,
                        "POST /query/x HTTP/1.1\r\nHost: a.example\r\nConnection: close\r\nX-Attempt-Id: " + id
                                + "\r\nX-Model: ma\r\nX-Token-Counts: 700,9\r\nX-Prompt-Prefix: a1:119,"
                                + Integer.toHexString(n % 40 + 256) + ":79," + Integer.toHexString(n + 65536)
                                + ":500\r\nX-Deadline-Ms: 12000\r\nAuthorization: Bearer key1\r\nContent-Length: 2\r\n"
                                + "\r\nhi",
                        13_000);
                String status = answer == null ? "no answer" : answer.complete ? "" + answer.status() : "cut";
                record.add("request " + id + " -> " + status);
                synchronized (answers) {
                    answers.computeIfAbsent("requests sent " + phase + " -> " + status, k -> new AtomicInteger())
                            .incrementAndGet();
                }
            });
            Thread.sleep(50);
        }
    }
}
