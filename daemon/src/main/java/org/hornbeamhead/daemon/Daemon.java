package org.hornbeamhead.daemon;

import com.google.common.flogger.FluentLogger;
import io.activej.eventloop.Eventloop;
import io.activej.http.AsyncServlet;
import io.activej.http.HttpServer;
import io.activej.reactor.nio.NioReactor;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import org.hornbeamhead.core.settings.Addresses;
import org.hornbeamhead.core.time.Clock;
import org.hornbeamhead.core.time.Timers;

/** A process's reactor, its HTTP listener, and its end on a signal. */
public final class Daemon {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final Duration READ_WRITE_TIMEOUT = Duration.ofMinutes(10);
    private static final int MAX_BODY_BYTES = 8 << 20;
    /** Requests to wait for changes take up to two seconds. */
    private static final Duration SHORT_CALL_TIMEOUT = Duration.ofSeconds(5);

    private static final int MAX_SHORT_BODY_BYTES = 1 << 20;
    private static final long SHUTDOWN_LIMIT_SECONDS = 600;
    private static final List<String> END_SIGNALS = List.of("TERM", "INT");

    private final Eventloop reactor;
    private final Clock clock = new ReactorClock();
    private final CountDownLatch ended = new CountDownLatch(1);
    private final AtomicLong uncaughtErrors = new AtomicLong();

    /** Makes a daemon on the calling thread. */
    public Daemon() {
        // Timers run on the monotonic clock: a step of the wall clock must neither fire nor stall them.
        this.reactor = Eventloop.builder()
                .withTimeProvider(clock::monotonicMillis)
                .withCurrentThread()
                .withFatalErrorHandler(this::uncaught)
                .build();
    }

    private void uncaught(Throwable e, Object context) {
        uncaughtErrors.incrementAndGet();
        logger.atSevere().atMostEvery(1, TimeUnit.SECONDS).withCause(e).log("nothing caught an error in %s", context);
    }

    /**
     * Listens for HTTP requests that are short and are answered within seconds. Others lose their connection.
     *
     * @param address where; port 0 takes a free one
     * @param servlet answers
     * @return the server, with the address it took
     * @throws IOException when the address cannot be bound
     */
    public HttpServer listenForShortCalls(InetSocketAddress address, AsyncServlet servlet) throws IOException {
        return listen(address, servlet, SHORT_CALL_TIMEOUT, MAX_SHORT_BODY_BYTES);
    }

    /**
     * Listens for HTTP requests whose answers may be streams.
     *
     * @param address where; port 0 takes a free one
     * @param servlet answers
     * @return the server, with the address it took
     * @throws IOException when the address cannot be bound
     */
    public HttpServer listen(InetSocketAddress address, AsyncServlet servlet) throws IOException {
        return listen(address, servlet, READ_WRITE_TIMEOUT, MAX_BODY_BYTES);
    }

    private HttpServer listen(InetSocketAddress address, AsyncServlet servlet, Duration timeout, int maxBodyBytes)
            throws IOException {
        HttpServer server = HttpServer.builder(reactor, servlet)
                .withListenAddress(address)
                .withReadWriteTimeout(timeout)
                .withMaxBodySize(maxBodyBytes)
                .withAcceptOnce(false)
                .build();
        server.listen();
        return server;
    }

    /**
     * Tells the address that a server took.
     *
     * @param server the server
     * @return such as {@code 127.0.0.1:8080}
     */
    public static String address(HttpServer server) {
        return Addresses.format(server.getBoundAddresses().get(0));
    }

    /**
     * Registers what is done at a signal to end. The process stays until {@link #end} is called.
     *
     * <p>Failure: the graceful shutdown runs as a hook of the virtual machine's own end, beside the hook that closes
     * the logs. Symptom: a router that was told to stop writes no line from then on, in one of two stops. The signal is
     * taken before the virtual machine begins to end.
     *
     * @param drain starts the graceful shutdown, on the reactor's thread
     */
    public void onSignal(Runnable drain) {
        AtomicBoolean asked = new AtomicBoolean();
        Runnable once = () -> {
            if (asked.compareAndSet(false, true)) {
                reactor.execute(drain);
                ExitCode code = awaitEnd();
                Logs.flush();
                Runtime.getRuntime().halt(code.code());
            }
        };
        END_SIGNALS.forEach(signal -> Signals.on(signal, once));
    }

    /** A process that a signal ends reports the signal as its exit code; one that drained as asked ended well. */
    private ExitCode awaitEnd() {
        try {
            return ended.await(SHUTDOWN_LIMIT_SECONDS, TimeUnit.SECONDS) ? ExitCode.OK : ExitCode.FAILED;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return ExitCode.FAILED;
        }
    }

    /** Lets the process end. */
    public void end() {
        ended.countDown();
        reactor.breakEventloop();
    }

    /**
     * Tells whoever started the process that it serves, on one line of standard output.
     *
     * @param addresses such as {@code http=127.0.0.1:8080}
     */
    public static void announce(String... addresses) {
        System.out.println("READY " + String.join(" ", addresses));
        System.out.flush();
    }

    /** Runs the reactor until the end. */
    public void run() {
        reactor.keepAlive(true);
        reactor.run();
        ended.countDown();
    }

    /**
     * Runs an action again and again, also after a run that failed.
     *
     * @param every the pause between two runs
     * @param action the action
     */
    public void repeat(Duration every, Runnable action) {
        reactor.delayBackground(every, () -> {
            try {
                action.run();
            } finally {
                repeat(every, action);
            }
        });
    }

    /**
     * Counts the errors that nothing caught. Each has ended one step of the reactor, such as the reading of a
     * connection or a timer's action; the reactor itself goes on. One a second at most is logged.
     *
     * @return their number since the start
     */
    public long uncaughtErrors() {
        return uncaughtErrors.get();
    }

    /**
     * Returns the reactor's timers.
     *
     * @return timers that run on the reactor's thread
     */
    public Timers timers() {
        return (delay, action) -> reactor.delayBackground(delay, action);
    }

    /**
     * Returns the reactor.
     *
     * @return the reactor
     */
    public NioReactor reactor() {
        return reactor;
    }

    /**
     * Returns the machine's clocks.
     *
     * @return the clock
     */
    public Clock clock() {
        return clock;
    }
}
