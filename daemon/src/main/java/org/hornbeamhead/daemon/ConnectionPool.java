package org.hornbeamhead.daemon;

import io.activej.net.socket.tcp.ITcpSocket;
import io.activej.reactor.nio.NioReactor;
import io.activej.reactor.schedule.ScheduledRunnable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/** The idle connections of a caller, the latest first. */
final class ConnectionPool {
    private final NioReactor reactor;
    private final Duration keepAlive;
    private final Map<InetSocketAddress, Deque<Idle>> idle = new HashMap<>();

    /**
     * An idle connection.
     *
     * @param connection the connection
     * @param expiry closes it
     */
    private record Idle(ClientConnection connection, ScheduledRunnable expiry) {}

    /**
     * Makes a pool.
     *
     * @param reactor the thread's reactor
     * @param keepAlive how long a connection may be idle; zero to keep none
     */
    ConnectionPool(NioReactor reactor, Duration keepAlive) {
        this.reactor = reactor;
        this.keepAlive = keepAlive;
    }

    boolean keepsConnections() {
        return !keepAlive.isZero();
    }

    /** Takes over a connection that was opened for a call. */
    ClientConnection connected(InetSocketAddress address, ITcpSocket socket) {
        return new ClientConnection(socket, c -> keep(address, c), () -> removeClosed(address));
    }

    /** Takes the connection that was used last. */
    Optional<ClientConnection> take(InetSocketAddress address) {
        Deque<Idle> connections = idle.get(address);
        if (connections == null) {
            return Optional.empty();
        }
        Idle latest = connections.pop();
        latest.expiry().cancel();
        removeIfEmpty(address, connections);
        return Optional.of(latest.connection());
    }

    private void keep(InetSocketAddress address, ClientConnection connection) {
        if (!keepsConnections()) {
            connection.close(new IOException("the call has ended"));
            return;
        }
        ScheduledRunnable expiry =
                reactor.delayBackground(keepAlive, () -> connection.close(new IOException("the connection was idle")));
        idle.computeIfAbsent(address, a -> new ArrayDeque<>()).push(new Idle(connection, expiry));
    }

    private void removeClosed(InetSocketAddress address) {
        Deque<Idle> connections = idle.get(address);
        if (connections != null) {
            connections.stream().filter(i -> i.connection().isClosed()).forEach(i -> i.expiry()
                    .cancel());
            connections.removeIf(i -> i.connection().isClosed());
            removeIfEmpty(address, connections);
        }
    }

    private void removeIfEmpty(InetSocketAddress address, Deque<Idle> connections) {
        if (connections.isEmpty()) {
            idle.remove(address);
        }
    }
}
