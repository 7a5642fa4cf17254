package org.hornbeamhead.gateway.limit;

import com.google.common.flogger.FluentLogger;
import io.vavr.control.Either;
import java.util.List;
import java.util.OptionalDouble;
import java.util.function.LongToDoubleFunction;
import org.hornbeamhead.core.limit.LimitExchange;
import org.hornbeamhead.core.limit.RequestLimiter;
import org.hornbeamhead.core.limit.StatedLimit;
import org.hornbeamhead.core.time.Clock;
import org.hornbeamhead.daemon.Logs;
import org.hornbeamhead.daemon.Metrics;
import org.hornbeamhead.gateway.replica.LiveReplica;
import org.hornbeamhead.gateway.replica.ReplicaRegistry;
import org.hornbeamhead.gateway.state.PeerDatagrams;
import org.hornbeamhead.gateway.state.UsageReports;

/**
 * Applies the request limits that replicas state, and exchanges with other routers what was stated and sent. Replicas
 * without a limit cost nothing.
 */
public final class ReplicaLimits implements UsageReports {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();

    private final Dependencies dependencies;
    private final Clock clock;
    private final LimitExchange exchange;
    private Runnable onChange = () -> {};

    /**
     * The dependencies.
     *
     * @param life a random number that identifies this run of the router
     * @param clock the clock
     * @param registry the replicas
     * @param share returns the part of each limit that this router may use at a monotonic time, above 0 and at most 1
     * @param metrics the metrics of the process
     * @param datagrams the socket for hints
     */
    public record Dependencies(
            long life,
            Clock clock,
            ReplicaRegistry registry,
            LongToDoubleFunction share,
            Metrics metrics,
            PeerDatagrams datagrams) {}

    /**
     * Starts to receive hints of other routers.
     *
     * @param dependencies the dependencies
     */
    public ReplicaLimits(Dependencies dependencies) {
        this.dependencies = dependencies;
        this.clock = dependencies.clock();
        this.exchange = new LimitExchange(dependencies.life());
        dependencies.datagrams().addListener((from, bytes) -> merge(bytes));
    }

    /**
     * Sets the listener for limits that are stated first, changed or ended.
     *
     * @param listener called when other routers should hear of a limit at once
     */
    public void onChange(Runnable listener) {
        onChange = listener;
    }

    /**
     * Records what an answer states of the replica's limit. An invalid statement changes nothing.
     *
     * @param replica the replica
     * @param limit the limit in requests a second, empty if the answer states none, or why it is invalid
     * @param requestedMillis when the request was sent, on the monotonic clock
     */
    public void observe(LiveReplica replica, Either<String, OptionalDouble> limit, long requestedMillis) {
        if (limit.isLeft()) {
            dependencies.metrics().count("hornbeam_replica_limits", "stated", "invalid");
            log(replica, "request limit ignored", limit.getLeft());
            return;
        }
        OptionalDouble stated = limit.get();
        if (stated.isEmpty() && !replica.limiter().isLimited()) {
            return;
        }
        dependencies.metrics().count("hornbeam_replica_limits", "stated", stated.isPresent() ? "limit" : "none");
        double rate = stated.orElse(Double.POSITIVE_INFINITY);
        if (replica.limiter().observe(new StatedLimit(rate, requestedMillis, clock.monotonicMillis()))) {
            limitChanged(replica, "answer");
            onChange.run();
        }
    }

    private void limitChanged(LiveReplica replica, String source) {
        exchange.add(replica.runHash(), replica.limiter());
        log(
                replica,
                "request limit changed",
                "limit=" + replica.limiter().stated().requestsPerSecond() + " source=" + source);
    }

    /**
     * Records a request that this router sends to a replica.
     *
     * @param replica the replica
     */
    public void recordSend(LiveReplica replica) {
        replica.limiter().recordSend(clock.monotonicMillis());
        if (replica.limiter().isLimited()) {
            // A replica that was listed again is not in the exchange any more.
            exchange.add(replica.runHash(), replica.limiter());
        }
    }

    /**
     * Returns whether a request to a replica is within the replica's limit.
     *
     * @param replica the replica
     * @return true if it may be sent now
     */
    public boolean accepts(LiveReplica replica) {
        RequestLimiter limiter = replica.limiter();
        if (!limiter.isLimited()) {
            return true;
        }
        long now = clock.monotonicMillis();
        return limiter.accepts(dependencies.share().applyAsDouble(now), now);
    }

    /**
     * Returns what {@link #accepts} would return, and changes nothing.
     *
     * @param replica the replica
     * @return true if a request may be sent now
     */
    public boolean wouldAccept(LiveReplica replica) {
        long now = clock.monotonicMillis();
        return !replica.limiter().isLimited()
                || replica.limiter().wouldAccept(dependencies.share().applyAsDouble(now), now);
    }

    /**
     * Returns when the limit of a replica lets the next caller return.
     *
     * @param replica the replica
     * @return the monotonic time, the present if the replica has no limit
     */
    public long nextReturnMillis(LiveReplica replica) {
        long now = clock.monotonicMillis();
        return replica.limiter().isLimited()
                ? replica.limiter().nextReturnMillis(dependencies.share().applyAsDouble(now), now)
                : now;
    }

    /**
     * Books the return of a caller to a replica, within the limit of the replica.
     *
     * @param replica the replica
     * @param request the id of the request, for the log
     * @return the time until the caller may return, in milliseconds, 0 if the replica has no limit
     */
    public long bookReturnMillis(LiveReplica replica, String request) {
        RequestLimiter limiter = replica.limiter();
        if (!limiter.isLimited()) {
            return 0;
        }
        long now = clock.monotonicMillis();
        double share = dependencies.share().applyAsDouble(now);
        long returnMillis = limiter.bookReturnMillis(share, now);
        dependencies.metrics().count("hornbeam_limit_refusals");
        logger.atInfo()
                .with(Logs.REQUEST, request)
                .with(Logs.REPLICA, replica.entry().id())
                .with(Logs.DECISION, "refused over replica limits")
                .with(
                        Logs.INPUTS,
                        "limit=" + limiter.stated().requestsPerSecond() + " sends=" + limiter.recentSends(now)
                                + " share=" + share + " hintAgeMillis=" + limiter.oldestHintMillis(now)
                                + " returnMillis=" + returnMillis)
                .log("return booked at %s", replica.entry().id());
        return returnMillis;
    }

    /**
     * Returns how many replicas have a limit.
     *
     * @return the number, as far as this router knows
     */
    public long countLimited() {
        return exchange.countLimited();
    }

    private void merge(byte[] datagram) {
        ReplicaRegistry registry = dependencies.registry();
        exchange.merge(
                datagram,
                replica -> registry.byRunHash(replica).map(LiveReplica::limiter),
                replica -> registry.byRunHash(replica).ifPresent(r -> limitChanged(r, "hint")),
                clock.monotonicMillis());
    }

    @Override
    public boolean hasChanges(long nowMillis) {
        return exchange.hasChanges();
    }

    @Override
    public List<byte[]> takeChanges(long nowMillis) {
        return exchange.takeChanges(nowMillis);
    }

    @Override
    public List<byte[]> summary(boolean idle, long nowMillis) {
        return exchange.summary(
                replica -> dependencies.registry().byRunHash(replica).isPresent(), nowMillis);
    }

    private static void log(LiveReplica replica, String decision, String inputs) {
        logger.atInfo()
                .with(Logs.REPLICA, replica.entry().id())
                .with(Logs.DECISION, decision)
                .with(Logs.INPUTS, inputs)
                .log("%s: %s", decision, replica.entry().id());
    }
}
