package org.hornbeamhead.gateway.replica;

import io.activej.promise.Promise;
import io.activej.reactor.nio.NioReactor;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import org.hornbeamhead.core.time.Clock;

/** The connection pool of this router for one replica. */
public final class ReplicaConnectionPool {
    /**
     * The connect timeout. A connection between data centres opens in a few milliseconds, and a lost packet is sent
     * again only after a second, so trying another replica is quicker.
     */
    private static final Duration OPEN_TIMEOUT = Duration.ofMillis(250);

    private static final long PROBE_INTERVAL_MILLIS = 1_000;

    private final NioReactor reactor;
    private final Clock clock;
    private final InetSocketAddress address;
    private final Deque<ReplicaConnection> idle = new ArrayDeque<>();
    private int openCount;
    private boolean closed;
    private long lastProbeAt = Long.MIN_VALUE / 2;

    ReplicaConnectionPool(NioReactor reactor, Clock clock, InetSocketAddress address) {
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
     * Checks whether the replica's process has ended. Its host then refuses new connections at once, while a host that
     * is disconnected or has lost its power does not answer.
     *
     * @return true when a new connection is refused, false when it opens or the check is inconclusive
     */
    public Promise<Boolean> refusesConnections() {
        openCount++;
        return ReplicaConnection.open(reactor, address, OPEN_TIMEOUT, () -> openCount--)
                .then(
                        connection -> {
                            release(connection);
                            return Promise.of(false);
                        },
                        e -> {
                            openCount--;
                            return Promise.of(e instanceof ConnectException);
                        });
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

    void close() {
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
