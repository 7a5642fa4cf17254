import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedDeque;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Many users come at once. Their bodies are well inside the limits of the configuration, and the replicas are sound and
 * have room for all of them.
 */
final class LargeBodies {
    /** Inside the sheets (18 KB in the mean, 110 KB at most), and far below max_body_bytes. */
    private static final int BODY_BYTES = 30_000;
    private static final int USUAL_PER_SECOND = 300;
    /** The site files have bursts of up to 2.6 times, and of 2.1 times for 7 s. */
    private static final double BURST = 2.1;
    private static final int REPLICAS = 8;
    private static final int SLOTS = 64;
    private static final long WORK_MILLIS = 1_200;
    private static final long USUAL_MILLIS = 6_000;
    private static final long BURST_MILLIS = 7_000;
    private static final int MAX_LOST = 3;
    /** Callers keep waiting long after the timeout_ms of the route, which is 3,000. */
    private static final int CALLER_MILLIS = 20_000;

    private static final long TIMEOUT_MILLIS = 3_000;
    private static final long TIMEOUT_SLACK_MILLIS = 500;

    private final Record record;
    private final Router router;
    private final ConcurrentLinkedDeque<Channel> kept = new ConcurrentLinkedDeque<>();
    private final ExecutorService threads = Executors.newCachedThreadPool();
    private final Map<String, String> results = new ConcurrentHashMap<>();
    private final Map<String, Long> durations = new ConcurrentHashMap<>();
    private final AtomicInteger ids = new AtomicInteger();

    private record Channel(Socket socket, BufferedInputStream in) {}

    private LargeBodies(Record record, Router router) {
        this.record = record;
        this.router = router;
    }

    public static void main(String[] args) throws Exception {
        Path folder = Files.createTempDirectory("review");
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int exit = 2;
        Router router = null;
        try (Record record = new Record(Path.of(args[0]))) {
            Store store = new Store(record);
            store.put("op/config", Documents.config(3, 4_194_304));
            List<Replica> replicas = new ArrayList<>();
            for (int i = 0; i < REPLICAS; i++) {
                replicas.add(new Replica("i-" + i, "waitlist", false, SLOTS, WORK_MILLIS, store, record));
            }
            router = new Router("front-1", "127.0.0.11", store.address(), folder);
            router.start();
            router.awaitReady();
            Thread.sleep(4_000);
            LargeBodies callers = new LargeBodies(record, router);
            callers.send(USUAL_PER_SECOND, USUAL_MILLIS);
            record.line("burst begins");
            callers.send(trouble ? USUAL_PER_SECOND * BURST : USUAL_PER_SECOND, BURST_MILLIS);
            record.line("burst ends");
            callers.threads.shutdown();
            callers.threads.awaitTermination(40, TimeUnit.SECONDS);
            exit = callers.judge(replicas);
        } catch (Unusable e) {
            System.out.println("the case could not run: " + e.getMessage());
        } finally {
            if (router != null) {
                router.end();
            }
            Cases.delete(folder);
        }
        System.exit(exit);
    }

    private void send(double perSecond, long millis) throws InterruptedException {
        long begin = System.nanoTime();
        for (int n = 0; n * 1_000 / perSecond < millis; n++) {
            long due = begin + (long) (n * 1e9 / perSecond);
            TimeUnit.NANOSECONDS.sleep(Math.max(0, due - System.nanoTime()));
            threads.execute(this::request);
        }
    }

    private void request() {
        Channel channel = kept.pollLast();
        try {
            if (channel == null) {
                Socket socket = Http.connect(router.ip, router.ports.get("front"), CALLER_MILLIS);
                channel = new Channel(socket, new BufferedInputStream(socket.getInputStream()));
                // From here on the channel is a kept one: it has carried a request.
                exchange(channel, "w" + ids.incrementAndGet(), 10);
            }
        } catch (IOException e) {
            record.line("no channel: %s", e.getMessage());
            return;
        }
        String id = "a" + ids.incrementAndGet();
        String result;
        long sent = record.millis();
        try {
            result = "status " + exchange(channel, id, BODY_BYTES);
            kept.addLast(channel);
        } catch (IOException e) {
            result = e instanceof SocketTimeoutException ? "no answer" : "closed: " + e.getMessage();
        }
        durations.put(id, record.millis() - sent);
        results.put(id, result);
    }

    private int exchange(Channel channel, String id, int bytes) throws IOException {
        record.line("sent %s, %d bytes", id, bytes);
        try {
            channel.socket()
                    .getOutputStream()
                    .write(Http.bytes("POST /letter/a HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: " + id
                            + "\r\nX-Deadline-Ms: 3000\r\nAuthorization: Bearer key1\r\nContent-Length: " + bytes
                            + "\r\n\r\n"));
            channel.socket().getOutputStream().write(new byte[bytes]);
            int status = Http.read(channel.in()).status();
            record.line("answered %s: %d", id, status);
            return status;
        } catch (IOException e) {
            record.line("channel of %s ended without an answer: %s", id, e.getMessage());
            channel.socket().close();
            throw e;
        }
    }

    private int judge(List<Replica> replicas) {
        Map<String, Integer> counts = new TreeMap<>();
        results.values().forEach(r -> counts.merge(r, 1, Integer::sum));
        List<String> run = replicas.stream().flatMap(r -> r.run.stream()).toList();
        long lost = results.entrySet().stream()
                .filter(e -> e.getValue().startsWith("closed") && run.contains(e.getKey()))
                .count();
        long late = durations.values().stream().filter(m -> m > TIMEOUT_MILLIS).count();
        long unanswered = durations.values().stream()
                .filter(m -> m > TIMEOUT_MILLIS + TIMEOUT_SLACK_MILLIS)
                .count();
        record.line("answers %s", counts);
        String lostLine = "LOST: passed on to a sound replica from a kept channel that was then closed without an answer: "
                + lost + " (allowed: " + MAX_LOST + "); the router " + (router.isAlive() ? "runs" : "has ended by itself");
        String lateLine = "CONFIG: unanswered at timeout_ms: " + late + ", half a second later: " + unanswered
                + " (allowed: half)";
        for (String line : List.of(lostLine, lateLine)) {
            record.line("%s", line);
            System.out.println(line);
        }
        // A handful of late answers are no share.
        return lost > MAX_LOST || (late > 20 && unanswered * 2 > late) ? 1 : 0;
    }
}
