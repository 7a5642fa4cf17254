package org.hornbeamhead.router;

import com.google.common.flogger.FluentLogger;
import io.activej.http.HttpHeader;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpResponse;
import io.vavr.control.Either;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BiConsumer;
import java.util.function.DoubleSupplier;
import java.util.function.Supplier;
import java.util.stream.Stream;
import org.hornbeamhead.core.limit.LimitExchange;
import org.hornbeamhead.core.limit.RequestLimiter;
import org.hornbeamhead.core.limit.StatedLimit;
import org.hornbeamhead.core.settings.Decimals;
import org.hornbeamhead.core.time.Clock;
import org.hornbeamhead.core.time.Timers;
import org.hornbeamhead.daemon.Logs;
import org.hornbeamhead.daemon.Metrics;

/**
 * The request limits that endpoints state in their answers, held together with the other routers. Owned by the
 * reactor's thread.
 */
final class EndpointLimits {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    /** The requests a second that an endpoint takes from all routers together. */
    private static final HttpHeader LIMIT = HttpHeaders.of("Hornbeam-Request-Limit");

    private static final long CHANGES_INTERVAL_MILLIS = 50;
    /** Each so many intervals all is told again, since each datagram may be lost. */
    private static final int SUMMARY_INTERVALS = 10;

    private static final int SERVER_ERROR = 500;

    private final Clock clock;
    private final Timers timers;
    private final Metrics metrics;
    private final Supplier<List<String>> otherRouters;
    private final BiConsumer<String, byte[]> send;
    private final DoubleSupplier share;
    private final LimitExchange exchange;
    private final Map<String, RequestLimiter> limiters = new HashMap<>();
    private final Map<Integer, String> addresses = new HashMap<>();
    private int intervals;

    /**
     * Creates the limits of endpoints that have stated none.
     *
     * @param life a random number that identifies this run of the router
     * @param clock the clocks
     * @param timers the reactor's timers
     * @param metrics the process's metrics
     * @param otherRouters gives the peer addresses of the other routers
     * @param send sends a datagram to one of them
     * @param share gives the part of each limit that this router and those in contact may use
     */
    EndpointLimits(
            long life,
            Clock clock,
            Timers timers,
            Metrics metrics,
            Supplier<List<String>> otherRouters,
            BiConsumer<String, byte[]> send,
            DoubleSupplier share) {
        this.clock = clock;
        this.timers = timers;
        this.metrics = metrics;
        this.otherRouters = otherRouters;
        this.send = send;
        this.share = share;
        this.exchange = new LimitExchange(life);
    }

    /** Starts to tell other routers. */
    void start() {
        metrics.gauge("hornbeam_limited_endpoints", exchange::countLimited);
        tick();
    }

    private void tick() {
        intervals++;
        long now = clock.monotonicMillis();
        if (intervals % SUMMARY_INTERVALS == 0) {
            tell(exchange.summary(addresses::containsKey, now));
        } else if (exchange.hasChanges()) {
            tell(exchange.takeChanges(now));
        }
        timers.schedule(CHANGES_INTERVAL_MILLIS, this::tick);
    }

    private void tell(List<byte[]> hints) {
        if (!hints.isEmpty()) {
            otherRouters.get().forEach(r -> hints.forEach(h -> send.accept(r, h)));
        }
    }

    /** Takes a hint of another router. */
    void receive(byte[] datagram) {
        exchange.merge(
                datagram,
                endpoint -> Optional.ofNullable(addresses.get(endpoint)).map(limiters::get),
                endpoint -> logChange(addresses.get(endpoint), "hint"),
                clock.monotonicMillis());
    }

    /** Takes over the endpoints that are listed; all others are forgotten. */
    void listed(Collection<String> endpoints) {
        limiters.keySet().retainAll(endpoints);
        addresses.values().retainAll(endpoints);
        endpoints.forEach(e -> {
            limiters.computeIfAbsent(e, a -> new RequestLimiter());
            addresses.put(e.hashCode(), e);
        });
    }

    /** Records a request that is sent to an endpoint. */
    void recordSend(String endpoint) {
        Optional.ofNullable(limiters.get(endpoint)).ifPresent(l -> l.recordSend(clock.monotonicMillis()));
    }

    /** Records what an answer states of its endpoint's limit. What is no limit changes nothing. */
    void observe(String endpoint, HttpResponse response, long requestedMillis) {
        RequestLimiter limiter = limiters.get(endpoint);
        if (limiter == null) {
            return;
        }
        Optional<String> text = Optional.ofNullable(response.getHeader(LIMIT));
        if (text.isPresent()) {
            Either<String, Double> limit = Decimals.parse(text.get(), 0, Double.MAX_VALUE);
            limit.peek(rate -> observe(endpoint, limiter, rate, requestedMillis))
                    .peekLeft(reason -> log(endpoint, "request limit ignored", reason));
        } else if (limiter.isLimited() && response.getCode() < SERVER_ERROR) {
            observe(endpoint, limiter, Double.POSITIVE_INFINITY, requestedMillis);
        }
    }

    private void observe(String endpoint, RequestLimiter limiter, double rate, long requestedMillis) {
        if (limiter.observe(new StatedLimit(rate, requestedMillis, clock.monotonicMillis()))) {
            exchange.add(endpoint.hashCode(), limiter);
            logChange(endpoint, "answer");
            tell(exchange.takeChanges(clock.monotonicMillis()));
        }
    }

    /** Returns whether a request to an endpoint is within the endpoint's limit. */
    boolean accepts(String endpoint) {
        RequestLimiter limiter = limiters.get(endpoint);
        return limiter == null || limiter.accepts(share.getAsDouble(), clock.monotonicMillis());
    }

    /** Returns when the limit of an endpoint lets the next caller return, on the monotonic clock. */
    long nextReturnMillis(String endpoint) {
        long now = clock.monotonicMillis();
        return limited(endpoint)
                .map(l -> l.nextReturnMillis(share.getAsDouble(), now))
                .orElse(now);
    }

    /** Books the return of a caller to an endpoint, in milliseconds from now; 0 if the endpoint has no limit. */
    long bookReturnMillis(String endpoint) {
        Optional<RequestLimiter> limiter = limited(endpoint);
        limiter.ifPresent(l -> metrics.count("hornbeam_limit_refusals"));
        return limiter.map(l -> l.bookReturnMillis(share.getAsDouble(), clock.monotonicMillis()))
                .orElse(0L);
    }

    /** Returns the endpoints that have a limit. */
    Stream<String> limited() {
        return limiters.entrySet().stream()
                .filter(e -> e.getValue().isLimited())
                .map(Map.Entry::getKey);
    }

    private Optional<RequestLimiter> limited(String endpoint) {
        return Optional.ofNullable(limiters.get(endpoint)).filter(RequestLimiter::isLimited);
    }

    private void logChange(String endpoint, String source) {
        double rate = limiters.get(endpoint).stated().requestsPerSecond();
        log(endpoint, "request limit changed", "limit=" + rate + " source=" + source);
    }

    private static void log(String endpoint, String decision, String inputs) {
        logger.atInfo()
                .with(Logs.REPLICA, endpoint)
                .with(Logs.DECISION, decision)
                .with(Logs.INPUTS, inputs)
                .log("%s: %s", decision, endpoint);
    }
}
