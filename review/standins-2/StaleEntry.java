import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicInteger;

/** A check-in that got no answer is carried out after the replica has reported that it is leaving. */
final class StaleEntry {
    private static final long DRAIN_MILLIS = 2_000;
    private static final long LATE_MILLIS = 5_800;

    private StaleEntry() {}

    public static void main(String[] args) {
        Record.run(args, StaleEntry::play);
    }

    private static boolean play(Record record, Path folder, boolean trouble) throws Exception {
        Store store = new Store();
        store.put("op/config", Config.plain(7));
        long[] acknowledged = {Long.MAX_VALUE / 2};
        AtomicInteger late = new AtomicInteger();
        List<Service> services = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            services.add(new Service(record, store, i, (s, r) -> {
                long after = record.millis() - acknowledged[0];
                if (s == services.get(0) && after > 0) {
                    record.add(r.header("X-Attempt-Id") + " reaches " + s.id + ", " + after
                            + " ms after it was acknowledged as draining");
                    if (after > DRAIN_MILLIS) {
                        late.incrementAndGet();
                    }
                }
            }));
        }
        List<Router> routers = Router.startAll(folder, store, 2);
        Thread.sleep(3_000);
        long start = record.millis();
        Map<String, AtomicInteger> answers = new TreeMap<>();
        Service leaving = services.get(0);
        Http.daemon(() -> {
            record.sleepUntil(start + 4_000);
            if (trouble) {
                leaving.beatLate(LATE_MILLIS);
            }
            record.sleepUntil(start + 7_200);
            leaving.drain();
            acknowledged[0] = record.millis();
            record.sleepUntil(start + 7_200 + DRAIN_MILLIS + 1_500);
            leaving.exit();
        });
        List<Thread> callers = new ArrayList<>();
        for (int i = 0; record.millis() < start + 13_000; i++) {
            int n = i;
            callers.add(Http.daemon(() -> {
                String id = String.format("%016x", 0x9c41_0000L + n);
                Http.Message answer = Http.call(
                        routers.get(n % routers.size()).front,
                        "POST /letter/x HTTP/1.1\r\nHost: a.example\r\nConnection: close\r\nX-Attempt-Id: " + id
                                + "\r\nX-Deadline-Ms: 600\r\nAuthorization: Bearer key1\r\nContent-Length: 2\r\n\r\nhi",
                        2_000);
                String outcome = answer == null ? "no answer" : answer.status() + (answer.complete ? "" : " cut");
                record.add("answer to " + id + ": " + outcome);
                synchronized (answers) {
                    answers.computeIfAbsent(outcome, k -> new AtomicInteger()).incrementAndGet();
                }
            }));
            Thread.sleep(20);
        }
        for (Thread t : callers) {
            t.join(3_000);
        }
        record.report("answers: " + answers);
        record.report("requests that reached the replica later than " + DRAIN_MILLIS
                + " ms after the acknowledgement: " + late);
        return late.get() > 0;
    }
}
