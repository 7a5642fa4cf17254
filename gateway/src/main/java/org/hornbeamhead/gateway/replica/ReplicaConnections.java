package org.hornbeamhead.gateway.replica;

import io.activej.promise.Promise;
import io.activej.reactor.nio.NioReactor;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import org.hornbeamhead.core.time.Clock;

/** The connections of this router to one replica. */
public final class ReplicaConnections {
    /**
     * How long opening may take. A connection between data centres opens in a few milliseconds, and a lost packet is
     * sent again after a second: it is quicker to try another replica.
     */
    private static final Duration OPEN_TIMEOUT = Duration.ofMillis(250);

    private static final long PROBE_EVERY_MILLIS = 1_000;

    private final NioReactor reactor;
    private final Clock clock;
    private final InetSocketAddress address;
    private final Deque<ReplicaConnection> idle = new ArrayDeque<>();
    private int open;
    private boolean retired;
    private long probedAt = Long.MIN_VALUE / 2;

    ReplicaConnections(NioReactor reactor, Clock clock, InetSocketAddress address) {
        this.reactor = reactor;
        this.clock = clock;
        this.address = address;
    }

    /**
     * Takes a kept connection or opens one.
     *
     * @param atMostIdle the longest idle time of a kept connection that the request may risk, in milliseconds
     * @param limit the connections that this router may have to the replica
     * @return the connection; fails when none can be had, and then nothing was sent
     */
    public Promise<ReplicaConnection> take(long atMostIdle, int limit) {
        long now = clock.monotonicMillis();
        while (!idle.isEmpty()) {
            ReplicaConnection kept = idle.pollLast();
            if (kept.usable(now, atMostIdle)) {
                return Promise.of(kept);
            }
            if (!kept.usable(now, Long.MAX_VALUE)) {
                kept.close();
            } else {
                idle.addFirst(kept);
                break;
            }
        }
        if (open >= limit) {
            return Promise.ofException(new NoConnectionException("all " + limit + " connections are in use"));
        }
        open++;
        return ReplicaConnection.open(reactor, address, OPEN_TIMEOUT, () -> open--)
                .whenException(e -> open--);
    }

    /**
     * Finds out whether the replica still takes connections, at most once a second.
     *
     * <p>Failure: a replica lost its power. Symptom: kept connections to it stay open and silent, and requests go on
     * being sent there until the registry drops it, three heartbeats later. A connection that cannot be opened is
     * proof.
     *
     * @param unreachable called when no connection can be opened
     */
    public void probe(Runnable unreachable) {
        long now = clock.monotonicMillis();
        if (now - probedAt < PROBE_EVERY_MILLIS) {
            return;
        }
        probedAt = now;
        open++;
        ReplicaConnection.open(reactor, address, OPEN_TIMEOUT, () -> open--).subscribe((connection, e) -> {
            if (e == null) {
                giveBack(connection);
            } else {
                open--;
                distrustKept();
                unreachable.run();
            }
        });
    }

    /**
     * Finds out whether the replica's process has ended. Its host then refuses new connections at once; one that is cut
     * off, or has lost its power, does not answer.
     *
     * @return true when a new connection is refused, false when one opens or nothing is known
     */
    public Promise<Boolean> refused() {
        open++;
        return ReplicaConnection.open(reactor, address, OPEN_TIMEOUT, () -> open--)
                .then(
                        connection -> {
                            giveBack(connection);
                            return Promise.of(false);
                        },
                        e -> {
                            open--;
                            return Promise.of(e instanceof ConnectException);
                        });
    }

    /**
     * Gives a connection back after a whole answer.
     *
     * @param connection the connection
     */
    public void giveBack(ReplicaConnection connection) {
        if (connection.isClosed()) {
            return;
        }
        if (retired) {
            connection.close();
            return;
        }
        connection.idleFrom(clock.monotonicMillis());
        idle.addLast(connection);
    }

    /** Closes kept connections whose idle time is over. */
    void closeStale() {
        long now = clock.monotonicMillis();
        idle.removeIf(c -> {
            if (!c.usable(now, Long.MAX_VALUE)) {
                c.close();
                return true;
            }
            return false;
        });
    }

    /**
     * Closes all kept connections, since one of them was found silent.
     *
     * <p>Failure: something on the way has lost track of the connections; what is sent on them is never answered.
     * Symptom: each further request on a kept connection is silent too.
     */
    public void distrustKept() {
        idle.forEach(ReplicaConnection::close);
        idle.clear();
    }

    void retire() {
        retired = true;
        distrustKept();
    }

    /**
     * Counts the connections.
     *
     * @return those that are open or being opened
     */
    public int open() {
        return open;
    }
}
