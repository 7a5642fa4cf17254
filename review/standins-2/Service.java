import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** A sound replica of a plain service. It checks in with the store a heartbeat after its last check-in. */
final class Service {
    private static final long HEARTBEAT_MILLIS = 1_200;

    /** Called when a request reaches the replica. */
    interface Observer {
        void arrived(Service service, Http.Message request);
    }

    final String id;
    final InetSocketAddress address;
    private final Record record;
    private final Store store;
    private final Observer observer;
    private final ServerSocket server;
    private final Set<Socket> connections = ConcurrentHashMap.newKeySet();
    private final AtomicInteger running = new AtomicInteger();
    private final long born = System.currentTimeMillis();
    private int seq;
    private volatile long lastBeatMillis;
    private boolean draining;
    private volatile boolean ended;
    /** The time that a request takes. */
    long workMillis = 20;

    Service(Record record, Store store, int number, Observer observer) throws IOException {
        this.record = record;
        this.store = store;
        this.observer = observer;
        this.id = "i-" + Integer.toHexString(0x2d9e6b00 + number);
        this.address = Http.freeAddress("127.0.0.1");
        server = Http.serve(address, this::handle);
        beat(0);
        Http.daemon(() -> {
            while (!ended) {
                long wait = lastBeatMillis + HEARTBEAT_MILLIS - record.millis();
                if (wait <= 0) {
                    beat(0);
                } else {
                    Thread.sleep(wait);
                }
            }
        });
    }

    /**
     * Writes the entry.
     *
     * @param delayMillis how much later the store carries the call out; the call gets no answer if it is not 0
     */
    private synchronized void beat(long delayMillis) {
        if (ended) {
            return;
        }
        lastBeatMillis = record.millis();
        String value = "{\"service\":\"app\",\"address\":\"" + Http.format(address)
                + "\",\"zone\":\"zone-a\",\"version\":\"v1\",\"slots\":6,\"state\":\""
                + (draining ? "draining" : "ready") + "\",\"cold_remaining_ms\":0,\"seq\":" + ++seq + ",\"born\":" + born + "}";
        if (delayMillis == 0) {
            store.put("servers/" + id, value);
            return;
        }
        record.add(id + " checks in and gets no answer: " + value);
        Http.daemon(() -> {
            Thread.sleep(delayMillis);
            store.put("servers/" + id, value);
            record.add("the store carries out, " + delayMillis + " ms late: " + value);
        });
    }

    /** Checks in once; the call gets no answer and is carried out later. */
    void beatLate(long delayMillis) {
        beat(delayMillis);
    }

    /** Reports that it is leaving; it goes on to serve. */
    void drain() {
        draining = true;
        beat(0);
        record.report(id + " is draining, which the store has acknowledged");
    }

    /** Ends after a planned shutdown. */
    void exit() throws IOException {
        ended = true;
        record.add(id + " exits, requests in progress: " + running);
        server.close();
        for (Socket socket : connections) {
            socket.close();
        }
        store.remove("servers/" + id);
    }

    private void handle(Http.Message request, Http.Connection connection) throws IOException, InterruptedException {
        connections.add(connection.socket);
        String expected = request.header("X-Expect-Instance");
        if (!expected.isEmpty() && !expected.equals(id)) {
            connection.answer(421, "X-Instance-Id: " + id + "\r\n", "");
        } else if (request.path().equals("/health")) {
            connection.answer(draining ? 503 : 200, "X-Instance-Id: " + id + "\r\n", "");
        } else {
            observer.arrived(this, request);
            running.incrementAndGet();
            Thread.sleep(workMillis);
            running.decrementAndGet();
            String attempt = request.header("X-Attempt-Id");
            connection.answer(
                    200,
                    "X-Attempt-Id: " + attempt + "\r\nX-Server-Stamp: " + id + "." + attempt + "\r\n"
                            + (draining ? "Connection: close\r\n" : ""),
                    "x".repeat(800));
            if (draining) {
                connection.socket.close();
            }
        }
    }
}
