package org.hornbeamhead.gateway.replica;

import io.activej.promise.Promise;
import io.activej.promise.Promises;
import io.activej.reactor.nio.NioReactor;
import io.activej.reactor.schedule.ScheduledRunnable;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.Consumer;
import org.hornbeamhead.core.http.ResponseHead;
import org.hornbeamhead.core.settings.Addresses;
import org.hornbeamhead.core.time.Clock;

/** The connection pool of this router for one replica. */
public final class ReplicaConnectionPool {
    /**
     * The connect timeout. A connection between data centres opens in a few milliseconds, and a lost packet is sent
     * again only after a second, so trying another replica is quicker.
     */
    private static final Duration OPEN_TIMEOUT = Duration.ofMillis(250);

    private static final long PROBE_INTERVAL_MILLIS = 1_000;
    /** How long a probed replica may take to answer. */
    private static final long PROBE_ANSWER_MILLIS = 500;
    /** How long, and for how many bytes, the rest of a response that nobody needs is read to reuse its connection. */
    private static final long DISCARD_MILLIS = 500;

    private static final int MAX_DISCARDED_BYTES = 1 << 16;
    /** After how long a connection that was opened for a check is looked at; more than a round trip. */
    private static final long CHECK_MILLIS = 20;

    private final NioReactor reactor;
    private final Clock clock;
    private final InetSocketAddress address;
    private final Deque<ReplicaConnection> idle = new ArrayDeque<>();
    private int openCount;
    private boolean closed;
    private long lastProbeAt = Long.MIN_VALUE / 2;

    /**
     * Creates an empty pool.
     *
     * @param reactor the reactor of the current thread
     * @param clock the clock
     * @param address the address to connect to
     */
    public ReplicaConnectionPool(NioReactor reactor, Clock clock, InetSocketAddress address) {
        this.reactor = reactor;
        this.clock = clock;
        this.address = address;
    }

    /**
     * Returns an idle connection, or opens a new one.
     *
     * @param atMostIdle the longest idle time of a connection that is acceptable for the request, in milliseconds
     * @param limit the maximum number of connections of this router to the replica
     * @return the connection; fails when none is available, and then nothing was sent
     */
    public Promise<ReplicaConnection> acquire(long atMostIdle, int limit) {
        long now = clock.monotonicMillis();
        while (!idle.isEmpty()) {
            ReplicaConnection connection = idle.pollLast();
            if (connection.isReusable(now, atMostIdle)) {
                return Promise.of(connection);
            }
            if (!connection.isReusable(now, Long.MAX_VALUE)) {
                connection.close();
            } else {
                idle.addFirst(connection);
                break;
            }
        }
        if (openCount >= limit) {
            return Promise.ofException(new NoConnectionException("all " + limit + " connections are in use"));
        }
        openCount++;
        return ReplicaConnection.open(reactor, address, OPEN_TIMEOUT, () -> openCount--)
                .whenException(e -> openCount--);
    }

    /**
     * Checks whether the replica still accepts connections, at most once a second.
     *
     * <p>When a replica loses its power, idle connections to it stay open and silent. Requests would be sent there
     * until the registry drops the replica, three heartbeats later. A connection that cannot be opened proves that the
     * replica is unreachable.
     *
     * @param unreachable called when no connection can be opened
     */
    public void probe(Runnable unreachable) {
        long now = clock.monotonicMillis();
        if (now - lastProbeAt < PROBE_INTERVAL_MILLIS) {
            return;
        }
        lastProbeAt = now;
        openCount++;
        ReplicaConnection.open(reactor, address, OPEN_TIMEOUT, () -> openCount--)
                .subscribe((connection, e) -> {
                    if (e == null) {
                        release(connection);
                    } else {
                        openCount--;
                        closeIdle();
                        unreachable.run();
                    }
                });
    }

    /**
     * Sends a request for a path on a new connection, to find out whether anything is received from the replica.
     *
     * @param path the path
     * @param result receives once whether the head of an answer arrived in time, whatever its status
     */
    public void probeAnswer(String path, Consumer<Boolean> result) {
        openCount++;
        ReplicaConnection.open(reactor, address, OPEN_TIMEOUT, () -> openCount--)
                .subscribe((connection, e) -> {
                    if (e != null) {
                        openCount--;
                        result.accept(false);
                        return;
                    }
                    byte[] message = ("GET " + path + " HTTP/1.1\r\nHost: " + Addresses.format(address) + "\r\n\r\n")
                            .getBytes(StandardCharsets.ISO_8859_1);
                    ProbeListener listener = new ProbeListener(result);
                    reactor.delayBackground(PROBE_ANSWER_MILLIS, () -> {
                        connection.close();
                        listener.onFailure("no answer in time");
                    });
                    connection.send(message, "GET", head -> true, listener);
                });
    }

    private static final class ProbeListener implements ResponseListener {
        private final Consumer<Boolean> result;
        private boolean ended;

        ProbeListener(Consumer<Boolean> result) {
            this.result = result;
        }

        private void end(boolean answered) {
            if (!ended) {
                ended = true;
                result.accept(answered);
            }
        }

        @Override
        public void onHead(ResponseHead head) {
            end(true);
        }

        @Override
        public Promise<Void> onBody(byte[] bytes) {
            return Promise.complete();
        }

        @Override
        public void onComplete() {
            end(true);
        }

        @Override
        public void onFailure(String reason) {
            end(false);
        }
    }

    /** The result of a check. */
    public enum Check {
        /** A new connection opened. */
        OPENED,
        /** A new connection was refused at once. */
        REFUSED,
        /** A new connection did not open in time. */
        UNANSWERED
    }

    /**
     * Checks whether a new connection opens. The host of a process that has ended refuses it at once, while a host that
     * is disconnected or has lost its power does not answer.
     *
     * @return the result
     */
    public Promise<Check> check() {
        return resultOf(openForCheck());
    }

    /**
     * Checks as {@link #check} whether the process still runs. The listener of one that is ending can outlive its other
     * connections for a moment, and a replica may close connections that are too many; a connection that is closed at
     * once is therefore opened once more.
     *
     * @return the result
     */
    public Promise<Check> checkRunning() {
        return resultOf(openForCheck().then(connection -> Promises.delay(Duration.ofMillis(CHECK_MILLIS))
                .then(() -> connection.isClosed() ? openForCheck() : Promise.of(connection))));
    }

    private Promise<Check> resultOf(Promise<ReplicaConnection> opened) {
        return opened.then(
                connection -> {
                    release(connection);
                    return Promise.of(Check.OPENED);
                },
                e -> Promise.of(e instanceof ConnectException ? Check.REFUSED : Check.UNANSWERED));
    }

    private Promise<ReplicaConnection> openForCheck() {
        openCount++;
        return ReplicaConnection.open(reactor, address, OPEN_TIMEOUT, () -> openCount--)
                .whenException(e -> openCount--);
    }

    /**
     * Returns a connection to the pool after a complete response.
     *
     * @param connection the connection
     */
    public void release(ReplicaConnection connection) {
        if (connection.isClosed()) {
            return;
        }
        if (closed) {
            connection.close();
            return;
        }
        connection.markIdle(clock.monotonicMillis());
        idle.addLast(connection);
    }

    /**
     * Returns a connection to the pool after the rest of a response that nobody needs. If the rest is long or late, the
     * connection is closed instead.
     *
     * @param connection a connection of which the head of a response was received
     */
    public void releaseAfterResponse(ReplicaConnection connection) {
        ScheduledRunnable timeout = reactor.delayBackground(DISCARD_MILLIS, connection::close);
        connection.continueWith(new DiscardingListener(connection, () -> {
            timeout.cancel();
            release(connection);
        }));
    }

    /** Drops the rest of a response. */
    private static final class DiscardingListener implements ResponseListener {
        private final ReplicaConnection connection;
        private final Runnable onEnd;
        private long discardedBytes;

        DiscardingListener(ReplicaConnection connection, Runnable onEnd) {
            this.connection = connection;
            this.onEnd = onEnd;
        }

        @Override
        public void onHead(ResponseHead head) {}

        @Override
        public Promise<Void> onBody(byte[] bytes) {
            discardedBytes += bytes.length;
            if (discardedBytes > MAX_DISCARDED_BYTES) {
                connection.close();
            }
            return Promise.complete();
        }

        @Override
        public void onComplete() {
            onEnd.run();
        }

        @Override
        public void onFailure(String reason) {
            onEnd.run();
        }
    }

    /** Closes idle connections whose idle timeout is over. */
    void closeExpired() {
        long now = clock.monotonicMillis();
        idle.removeIf(connection -> {
            if (!connection.isReusable(now, Long.MAX_VALUE)) {
                connection.close();
                return true;
            }
            return false;
        });
    }

    /**
     * Closes all idle connections, since one of them was found silent. A device on the path may have lost the state of
     * these connections; requests on any of them would get no response either.
     */
    public void closeIdle() {
        idle.forEach(ReplicaConnection::close);
        idle.clear();
    }

    /** Closes idle connections, and others once they are released. */
    public void close() {
        closed = true;
        closeIdle();
    }

    /**
     * Returns the number of connections.
     *
     * @return the connections that are open or being opened
     */
    public int openCount() {
        return openCount;
    }
}
