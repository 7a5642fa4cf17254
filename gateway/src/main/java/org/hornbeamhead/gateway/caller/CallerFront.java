package org.hornbeamhead.gateway.caller;

import com.google.common.flogger.FluentLogger;
import io.activej.net.SimpleServer;
import io.activej.net.socket.tcp.ITcpSocket;
import io.activej.reactor.nio.NioReactor;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Supplier;
import org.hornbeamhead.core.route.CallerLimits;
import org.hornbeamhead.daemon.Metrics;

/** The listener for callers, and their connections. */
public final class CallerFront {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    /**
     * How long a connection stays half closed after its last answer. A close with unread bytes resets the connection,
     * and a reset can overtake the answer; one round trip between data centres is a few milliseconds.
     */
    static final long LINGER_MILLIS = 50;

    private final NioReactor reactor;
    private final CallerHandler handler;
    private final Supplier<CallerLimits> limits;
    private final Metrics metrics;
    private final Set<CallerConnection> open = new HashSet<>();
    private SimpleServer server;
    private int inFlight;
    private boolean draining;

    /**
     * Makes a front that does not listen yet.
     *
     * @param reactor the thread's reactor
     * @param handler answers requests
     * @param limits what callers may send, read for each new connection
     * @param metrics the process's metrics
     */
    public CallerFront(NioReactor reactor, CallerHandler handler, Supplier<CallerLimits> limits, Metrics metrics) {
        this.reactor = reactor;
        this.handler = handler;
        this.limits = limits;
        this.metrics = metrics;
    }

    /**
     * Starts to listen.
     *
     * @param address where
     * @throws IOException when the address cannot be bound
     */
    public void listen(InetSocketAddress address) throws IOException {
        server = SimpleServer.builder(reactor, this::accept)
                .withListenAddress(address)
                .build();
        server.listen();
    }

    private void accept(ITcpSocket socket) {
        CallerConnection connection = new CallerConnection(reactor, socket, this, limits.get());
        open.add(connection);
        connection.start();
    }

    CallerHandler handler() {
        return handler;
    }

    /**
     * Tells whether connections are closed after their next answer.
     *
     * @return true once draining
     */
    public boolean draining() {
        return draining;
    }

    /** Lets each connection end with its next answer; new ones are still taken. */
    public void drain() {
        draining = true;
    }

    /** Closes the connections that carry no request. */
    public void closeIdle() {
        List.copyOf(open).forEach(CallerConnection::closeIdle);
    }

    /** Takes no more connections. */
    public void stopListening() {
        server.close();
    }

    /**
     * Counts the requests under way.
     *
     * @return the number
     */
    public int inFlight() {
        return inFlight;
    }

    /**
     * Counts the open connections.
     *
     * @return the number
     */
    public int connections() {
        return open.size();
    }

    void began() {
        inFlight++;
    }

    void ended() {
        inFlight--;
    }

    void closed(CallerConnection connection) {
        open.remove(connection);
    }

    void refusedUnread(int status, String why) {
        metrics.count("hornbeam_callers_refused_unread", "status", Integer.toString(status));
        logger.atInfo().log("request refused unread: %d, %s", status, why);
    }
}
