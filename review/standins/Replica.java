import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;

/** A sound replica as PROTOCOL.md has it: plain requests, health, reports and orders of weights. */
final class Replica implements AutoCloseable {
    static final String MODEL = "daka510000";
    private static final long HEARTBEAT_MILLIS = 1_200;

    /** An order that arrived. */
    record Order(long atMillis, String holder, long fence, long version, int status) {}

    final String id;
    final List<String> run = new CopyOnWriteArrayList<>();
    final List<Order> orders = new CopyOnWriteArrayList<>();
    private final String service;
    private final boolean engine;
    private final int slotCount;
    private final long workMillis;
    private final Store store;
    private final Record record;
    private final ServerSocket server;
    private final ExecutorService threads = Executors.newCachedThreadPool();
    private final Semaphore slots;
    private final AtomicInteger present = new AtomicInteger();
    private long version = 1;
    private long loadingUntil;
    private long loading;
    private long seq;
    private volatile boolean open = true;
    /** How long new weights take; the site files say 320 ms, longer while over two replicas load. */
    volatile long loadMillis = 320;

    Replica(String id, String service, boolean engine, int slotCount, long workMillis, Store store, Record record)
            throws IOException {
        this.id = id;
        this.service = service;
        this.engine = engine;
        this.slotCount = slotCount;
        this.slots = new Semaphore(slotCount, true);
        this.workMillis = workMillis;
        this.store = store;
        this.record = record;
        this.server = new ServerSocket(0, 256, InetAddress.getByName("127.0.0.1"));
        threads.execute(this::accept);
        threads.execute(this::beat);
    }

    private void accept() {
        while (open) {
            try {
                Socket socket = server.accept();
                threads.execute(() -> serve(socket));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void beat() {
        try {
            for (int n = 0; open; n++) {
                ObjectNode entry = Store.JSON.createObjectNode();
                entry.put("service", service)
                        .put("address", "127.0.0.1:" + server.getLocalPort())
                        .put("zone", "bkk-dusit")
                        .put("version", "s1")
                        .put("slots", slotCount)
                        .put("state", "ready")
                        .put("cold_remaining_ms", 0)
                        .put("seq", n);
                if (engine) {
                    entry.put("stage", "both").set("models", models());
                }
                store.put("servers/" + id, entry.toString());
                Thread.sleep(HEARTBEAT_MILLIS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private JsonNode models() {
        var list = Store.JSON.createArrayNode();
        list.addObject().put("name", MODEL).put("version", version()).putArray("adapters");
        return list;
    }

    private synchronized long version() {
        if (loading > 0 && record.millis() >= loadingUntil) {
            version = loading;
            loading = 0;
            record.line("replica %s has version %d", id, version);
        }
        return version;
    }

    private void serve(Socket socket) {
        try (socket) {
            BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
            while (open) {
                Http.Message request = Http.read(in);
                answer(request, socket.getOutputStream());
            }
        } catch (IOException | InterruptedException e) {
            // The caller has closed the channel.
        }
    }

    private void answer(Http.Message request, OutputStream out) throws IOException, InterruptedException {
        String path = request.start().split(" ", 3)[1];
        String expected = request.header("X-Expect-Instance");
        if (!expected.isEmpty() && !expected.equals(id)) {
            send(out, 421, "X-Instance-Id: " + id + "\r\nX-Not-Executed: 1\r\n", "");
        } else if (path.equals("/hornbeamhead/report")) {
            send(out, 200, "Content-Type: application/json\r\n", report());
        } else if (path.equals("/hornbeamhead/order")) {
            send(out, order(Store.JSON.readTree(request.body())), "", "");
        } else if (path.equals("/health")) {
            send(out, 200, "X-Instance-Id: " + id + "\r\n", "");
        } else {
            work(request, out);
        }
    }

    private synchronized String report() {
        ObjectNode report = Store.JSON.createObjectNode();
        report.put("stage", "both").set("models", models());
        report.put("busy", loading > 0).put("seq", seq).put("queued", 0).put("in_flight", 0);
        report.put("kv_used", 0).put("kv_total", 94_571).put("handles", 0).put("state", "ready");
        return report.toString();
    }

    private synchronized int order(JsonNode order) {
        long wanted = order.path("version").asLong();
        long now = version();
        int status;
        if (!order.hasNonNull("holder") || !order.hasNonNull("fence")) {
            status = 400;
        } else if (now == wanted) {
            status = 200;
        } else if (loading > 0 || (order.has("expected") && order.path("expected").asLong() != seq)) {
            status = 409;
        } else {
            status = 202;
            seq++;
            loading = wanted;
            loadingUntil = record.millis() + loadMillis;
        }
        Order arrived = new Order(
                record.millis(), order.path("holder").asText(), order.path("fence").asLong(), wanted, status);
        orders.add(arrived);
        record.line(
                "replica %s: order of %s, fence %d, version %d: %d",
                id, arrived.holder(), arrived.fence(), wanted, status);
        return status;
    }

    private void work(Http.Message request, OutputStream out) throws IOException, InterruptedException {
        String attempt = request.header("X-Attempt-Id");
        if (present.incrementAndGet() > 4 * slotCount) {
            present.decrementAndGet();
            send(out, 503, "X-Attempt-Id: " + attempt + "\r\nX-Not-Executed: 1\r\n", "");
            return;
        }
        slots.acquire();
        try {
            run.add(attempt);
            record.line("replica %s runs %s (%d bytes)", id, attempt, request.body().length);
            Thread.sleep(workMillis);
        } finally {
            slots.release();
            present.decrementAndGet();
        }
        send(
                out,
                200,
                "X-Attempt-Id: " + attempt + "\r\nX-Server-Stamp: stamp-" + attempt + "\r\nX-Server-Load: "
                        + (slotCount - slots.availablePermits()) + ",0," + slotCount + "\r\n",
                "body of " + attempt);
    }

    private static void send(OutputStream out, int status, String headers, String body) throws IOException {
        out.write(Http.bytes("HTTP/1.1 " + status + " X\r\n" + headers + "Content-Length: " + body.length()
                + "\r\n\r\n" + body));
        out.flush();
    }

    @Override
    public void close() throws IOException {
        open = false;
        server.close();
        threads.shutdownNow();
    }
}
