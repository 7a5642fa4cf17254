import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** A replica that is leaving is gone two seconds after its notice, while streams without a length run there. */
final class LeavingCut {
    private static final int EVENTS = 60;
    private static final long PAUSE_MILLIS = 50;
    private static final long NOTICE_MILLIS = 5_000;
    private static final long GONE_MILLIS = NOTICE_MILLIS + 2_000;
    private static final long SILENT_MILLIS = 3_600;

    private LeavingCut() {}

    public static void main(String[] args) {
        Record.run(args, LeavingCut::play);
    }

    private static boolean play(Record record, Path folder, boolean trouble) throws Exception {
        Store store = new Store();
        store.put("op/version/ma", "{\"model\":\"ma\",\"version\":1}");
        store.put("op/config", Config.oneModel(7, Config.streamRoute("case", false, 1, 5_000, 800), false));
        List<EngineProcess> engines = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            engines.add(new EngineProcess(record, store, "i-7f3a910" + i, EVENTS, PAUSE_MILLIS, true));
        }
        List<Router> routers = Router.startAll(folder, store, 2);
        Thread.sleep(4_000);
        long start = record.millis();
        AtomicInteger whole = new AtomicInteger();
        AtomicInteger cut = new AtomicInteger();
        AtomicInteger wrong = new AtomicInteger();
        List<Thread> callers = new ArrayList<>();
        EngineProcess leaving = engines.get(0);
        Http.daemon(() -> {
            record.sleepUntil(start + NOTICE_MILLIS);
            leaving.drain();
            if (trouble) {
                record.sleepUntil(start + GONE_MILLIS);
                leaving.kill();
                Thread.sleep(SILENT_MILLIS);
                store.remove("servers/" + leaving.id);
            }
        });
        for (int i = 0; record.millis() < start + 10_000; i++) {
            int n = i;
            callers.add(Http.daemon(() -> {
                String id = String.format("%016x", 0x9c41_0000L + n);
                Http.Message answer = Http.call(
                        routers.get(n % routers.size()).front,
                        "POST /case/x HTTP/1.1\r\nHost: a.example\r\nConnection: close\r\nX-Attempt-Id: " + id
                                + "\r\nX-Model: ma\r\nX-Token-Counts: 9190,60\r\nX-Prompt-Prefix: a1:2520,"
                                + Integer.toHexString(n % 160 + 4096) + ":3780," + Integer.toHexString(n + 65536)
                                + ":2890\r\nX-Deadline-Ms: 5000\r\nAuthorization: Bearer key1\r\n"
                                + "Content-Length: 2\r\n\r\nhi",
                        6_000);
                String outcome;
                if (answer == null) {
                    outcome = "no answer";
                } else if (!answer.complete || answer.status() != 200) {
                    outcome = answer.status() + ", complete=" + answer.complete;
                    cut.incrementAndGet();
                } else {
                    int events = answer.text().split("\n\n").length;
                    outcome = "200, complete, " + events + " events of " + EVENTS;
                    (events == EVENTS ? whole : wrong).incrementAndGet();
                }
                record.add("answer to " + id + ": " + outcome);
            }));
            Thread.sleep(25);
        }
        for (Thread t : callers) {
            t.join(8_000);
        }
        record.report("streams whole: " + whole + ", failed or broken off: " + cut
                + ", ended as complete before their last event: " + wrong);
        return wrong.get() > 0;
    }
}
