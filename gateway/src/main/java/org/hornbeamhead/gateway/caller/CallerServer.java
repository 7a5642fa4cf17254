package org.hornbeamhead.gateway.caller;

import com.google.common.flogger.FluentLogger;
import io.activej.net.SimpleServer;
import io.activej.net.socket.tcp.ITcpSocket;
import io.activej.net.socket.tcp.TcpSocket;
import io.activej.reactor.nio.NioReactor;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.hornbeamhead.core.http.WholeRequest;
import org.hornbeamhead.core.route.CallerLimits;
import org.hornbeamhead.core.time.Clock;
import org.hornbeamhead.daemon.Logs;
import org.hornbeamhead.daemon.Metrics;
import org.hornbeamhead.gateway.state.StallDetector;

/** Accepts and tracks the connections of callers. */
public final class CallerServer {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    /**
     * How long a connection stays half closed after its last response. Closing with unread bytes resets the connection,
     * and a reset can overtake the response; one round trip between data centres takes a few milliseconds.
     */
    static final long LINGER_MILLIS = 50;

    /** The time within which callers that go on at once send their next request, or the first on a new connection. */
    static final long REUSE_MILLIS = 500;

    private final NioReactor reactor;
    private final CallerHandler handler;
    private final Supplier<CallerLimits> limits;
    private final Function<WholeRequest, String> requestId;
    private final Metrics metrics;
    private final StallDetector stallDetector;
    private final IncompleteRequests incomplete = new IncompleteRequests();
    private final RequestMemory requestMemory = new RequestMemory();
    private final Set<CallerConnection> openConnections = new HashSet<>();
    private final List<SimpleServer> servers = new ArrayList<>();
    private int inFlight;
    private boolean draining;

    /**
     * Creates a server that does not listen yet.
     *
     * @param reactor the reactor of the current thread
     * @param clock the clock
     * @param handler handles the requests
     * @param limits the limits for callers by the configuration in force
     * @param requestId returns the id that a request names, for the log
     * @param metrics the metrics of the process
     */
    public CallerServer(
            NioReactor reactor,
            Clock clock,
            CallerHandler handler,
            Supplier<CallerLimits> limits,
            Function<WholeRequest, String> requestId,
            Metrics metrics) {
        this.reactor = reactor;
        this.handler = handler;
        this.limits = limits;
        this.requestId = requestId;
        this.metrics = metrics;
        this.stallDetector = new StallDetector(clock, (delay, action) -> reactor.delayBackground(delay, action));
    }

    /**
     * Starts to listen.
     *
     * @param address the address to bind
     * @throws IOException if the address cannot be bound
     */
    public void listen(InetSocketAddress address) throws IOException {
        listen(address, s -> accept(s, handler, limits, ResponseWriter::endWithProcess));
        stallDetector.start();
    }

    /**
     * Starts to listen for requests that other routers hand over. Those of other hosts are declined, since a router may
     * not be listed yet.
     *
     * @param address the address to bind
     * @param isRouter returns whether a router runs at an address
     * @param relayHandler handles the requests of routers
     * @param decliningHandler answers other requests
     * @throws IOException if the address cannot be bound
     */
    public void listenForRouters(
            InetSocketAddress address,
            Predicate<InetAddress> isRouter,
            CallerHandler relayHandler,
            CallerHandler decliningHandler)
            throws IOException {
        listen(address, socket -> {
            InetAddress host = ((TcpSocket) socket).getRemoteAddress().getAddress();
            boolean trusted = isRouter.test(host);
            if (!trusted) {
                metrics.count("hornbeam_relay_connections_declined");
                logger.atWarning().log("requests from %s, where no router is listed, are declined", host);
            }
            // The other router tells an answer from the end of this one, after which it may go on elsewhere.
            accept(
                    socket,
                    trusted ? relayHandler : decliningHandler,
                    () -> limits.get().forRouters(),
                    ResponseWriter::abort);
        });
    }

    private void listen(InetSocketAddress address, Consumer<ITcpSocket> acceptor) throws IOException {
        SimpleServer server = SimpleServer.builder(reactor, acceptor)
                .withListenAddress(address)
                .build();
        server.listen();
        servers.add(server);
    }

    /** Serves the requests of a connection. */
    void accept(
            ITcpSocket socket,
            CallerHandler requestHandler,
            Supplier<CallerLimits> connectionLimits,
            Consumer<ResponseWriter> atEndOfProcess) {
        CallerConnection connection =
                new CallerConnection(reactor, socket, this, requestHandler, connectionLimits, atEndOfProcess);
        openConnections.add(connection);
        connection.start();
    }

    /**
     * Handles a request. After a stall, the request may have been waiting for long, and its caller may have left; the
     * reactor then looks for the end of the connection first.
     */
    void handle(CallerHandler requestHandler, WholeRequest request, ResponseWriter response) {
        if (stallDetector.mayHaveBacklog()) {
            afterPendingReads(() -> handleUnlessDisconnected(requestHandler, request, response));
        } else {
            handleNow(requestHandler, request, response);
        }
    }

    /** Runs an action once the reactor has read what the sockets hold now, which takes two of its turns. */
    void afterPendingReads(Runnable action) {
        reactor.delayBackground(1, () -> reactor.delayBackground(1, action));
    }

    private static void handleNow(CallerHandler requestHandler, WholeRequest request, ResponseWriter response) {
        try {
            requestHandler.handle(request, response);
        } catch (RuntimeException e) {
            response.fail("the request could not be handled");
            throw e;
        }
    }

    private void handleUnlessDisconnected(CallerHandler requestHandler, WholeRequest request, ResponseWriter response) {
        if (response.isFinished()) {
            metrics.count("hornbeam_callers_gone_unserved");
        } else {
            handleNow(requestHandler, request, response);
        }
    }

    /**
     * Returns whether connections are closed after their next response.
     *
     * @return true once draining has started
     */
    public boolean draining() {
        return draining;
    }

    /** Starts draining: each connection is closed after its next response, but new connections are still accepted. */
    public void drain() {
        draining = true;
    }

    /** Closes the connections without a request in progress. */
    public void closeIdle() {
        List.copyOf(openConnections).forEach(CallerConnection::closeIdle);
    }

    /**
     * Ends the requests in progress before the process ends: a caller whose response has not begun gets one which says
     * so, instead of a connection that is closed without any.
     */
    public void endRequests() {
        List.copyOf(openConnections).forEach(CallerConnection::endRequest);
    }

    /** Stops accepting connections. */
    public void stopListening() {
        servers.forEach(SimpleServer::close);
    }

    /**
     * Returns the number of requests in flight.
     *
     * @return the number of requests
     */
    public int inFlight() {
        return inFlight;
    }

    /**
     * Returns whether a request is in progress, or may follow on a connection that was used or opened just now.
     *
     * @return true until all connections have been idle for some time
     */
    public boolean isInUse() {
        return inFlight > 0 || openConnections.stream().anyMatch(CallerConnection::isInUse);
    }

    /**
     * Returns the number of open connections.
     *
     * @return the number of connections
     */
    public int connectionCount() {
        return openConnections.size();
    }

    void requestStarted(WholeRequest request) {
        inFlight++;
        requestMemory.add(request);
    }

    void requestEnded(WholeRequest request) {
        inFlight--;
        requestMemory.remove(request);
    }

    /**
     * Returns the memory of the requests in flight.
     *
     * @return the memory
     */
    public RequestMemory requestMemory() {
        return requestMemory;
    }

    IncompleteRequests incomplete() {
        return incomplete;
    }

    void connectionClosed(CallerConnection connection) {
        openConnections.remove(connection);
        incomplete.remove(connection);
    }

    /** Logs a request whose response is not complete when the process ends. */
    void recordUnfinished(WholeRequest request, String end, long millis) {
        logger.atWarning()
                .with(Logs.REQUEST, requestId.apply(request))
                .with(Logs.DECISION, end + " with the process")
                .with(Logs.INPUTS, "path=" + request.head().path() + " millis=" + millis)
                .log("request in progress at the end of the process");
    }

    /** Records bytes of a caller that were read when its connection was being closed, and are not answered. */
    void recordDropped(int bytes) {
        metrics.count("hornbeam_callers_bytes_dropped", bytes);
        logger.atInfo()
                .with(Logs.DECISION, "bytes dropped")
                .log("%d bytes came before the close of a connection", bytes);
    }

    void recordRejection(int status, String reason) {
        metrics.count("hornbeam_callers_refused_unread", "status", Integer.toString(status));
        logger.atInfo().log("request rejected before it was read completely: %d, %s", status, reason);
    }
}
