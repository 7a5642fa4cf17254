package org.hornbeamhead.gateway.state;

import com.google.common.flogger.FluentLogger;
import io.vavr.control.Either;
import java.util.Collection;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.WeakHashMap;
import java.util.function.BiConsumer;
import java.util.function.Supplier;
import org.hornbeamhead.core.load.LoadStatement;
import org.hornbeamhead.core.load.LoadStatementHint;
import org.hornbeamhead.core.time.Clock;
import org.hornbeamhead.core.time.Timers;
import org.hornbeamhead.daemon.Logs;
import org.hornbeamhead.daemon.Metrics;
import org.hornbeamhead.gateway.replica.LiveReplica;
import org.hornbeamhead.gateway.replica.ReplicaRegistry;

/**
 * Records the load that replicas state, and exchanges statements that have a pace with other busy routers. A lost
 * datagram results in a worse choice of replicas, nothing else.
 */
public final class LoadStatements {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final String METRIC = "hornbeam_load_statements";
    private static final String SOURCE = "source";
    /** A tenth of the time for which a machine keeps its pace. */
    private static final long MIN_INTERVAL_MILLIS = 60;
    /** With more receivers than this, hints are sent less often, so that a router's datagrams stay bounded. */
    private static final int MAX_FULL_RATE_ROUTERS = 16;

    private final Dependencies dependencies;
    private final Clock clock;
    private final Map<Integer, Received> pending = new LinkedHashMap<>();
    private final Set<LiveReplica> loggedInvalid = Collections.newSetFromMap(new WeakHashMap<>());
    private boolean flushScheduled;
    private long nextHintMillis = Long.MIN_VALUE / 2;

    private record Received(LoadStatement statement, long requestedMillis, long answeredMillis) {}

    /**
     * The dependencies.
     *
     * @param clock the clock
     * @param timers the timers of the current thread
     * @param registry the replicas
     * @param busyPeers supplies the addresses of the busy other routers
     * @param datagrams sends bytes to an address
     * @param metrics the metrics of the process
     */
    public record Dependencies(
            Clock clock,
            Timers timers,
            ReplicaRegistry registry,
            Supplier<? extends Collection<String>> busyPeers,
            BiConsumer<String, byte[]> datagrams,
            Metrics metrics) {}

    /**
     * Creates a recorder without any statements.
     *
     * @param dependencies the dependencies
     */
    public LoadStatements(Dependencies dependencies) {
        this.dependencies = dependencies;
        this.clock = dependencies.clock();
        dependencies.metrics().gauge("hornbeam_slow_replicas", this::countSlow);
    }

    private long countSlow() {
        long now = clock.monotonicMillis();
        return dependencies.registry().all().stream()
                .filter(r -> r.statedLoad().isSlow(now))
                .count();
    }

    /**
     * Records what a response states. An invalid statement changes nothing.
     *
     * @param replica the replica
     * @param stated the statement, empty if there is none, or why it is invalid
     * @param requestedMillis when the request was sent, on the monotonic clock
     * @param request the id of the request, for the log
     */
    public void observe(
            LiveReplica replica, Either<String, Optional<LoadStatement>> stated, long requestedMillis, String request) {
        stated.peekLeft(reason -> reportInvalid(replica, reason, request))
                .peek(s -> s.ifPresent(statement -> record(replica, statement, requestedMillis)));
    }

    private void reportInvalid(LiveReplica replica, String reason, String request) {
        dependencies.metrics().count(METRIC, SOURCE, "invalid");
        if (loggedInvalid.add(replica)) {
            logger.atWarning()
                    .with(Logs.REQUEST, request)
                    .with(Logs.REPLICA, replica.entry().id())
                    .with(Logs.DECISION, "load statement ignored")
                    .with(Logs.INPUTS, reason)
                    .log("load statement ignored: %s", replica.entry().id());
        }
    }

    private void record(LiveReplica replica, LoadStatement statement, long requestedMillis) {
        long now = clock.monotonicMillis();
        dependencies.metrics().count(METRIC, SOURCE, "response");
        if (replica.statedLoad().observe(statement, requestedMillis, now) && statement.hasPace()) {
            // The map keeps the order of arrival, so that the newest statements are last.
            pending.remove(replica.runHash());
            pending.put(replica.runHash(), new Received(statement, requestedMillis, now));
            scheduleFlush(now);
        }
    }

    private void scheduleFlush(long now) {
        if (!flushScheduled) {
            flushScheduled = true;
            dependencies.timers().schedule(Math.max(0, nextHintMillis - now), this::flush);
        }
    }

    private void flush() {
        long now = clock.monotonicMillis();
        Collection<String> peers = dependencies.busyPeers().get();
        byte[] datagram = new LoadStatementHint(takeNewest(now)).encode();
        peers.stream()
                .limit(UsageGossip.MAX_PEERS)
                .forEach(p -> dependencies.datagrams().accept(p, datagram));
        flushScheduled = false;
        nextHintMillis = now + MIN_INTERVAL_MILLIS * Math.max(1, peers.size() / MAX_FULL_RATE_ROUTERS);
    }

    private List<LoadStatementHint.Entry> takeNewest(long now) {
        List<LoadStatementHint.Entry> entries = pending.entrySet().stream()
                .skip(Math.max(0, pending.size() - LoadStatementHint.MAX_ENTRIES))
                .map(e -> entry(e.getKey(), e.getValue(), now))
                .toList();
        pending.clear();
        return entries;
    }

    private static LoadStatementHint.Entry entry(int replica, Received received, long now) {
        return new LoadStatementHint.Entry(
                replica,
                received.statement(),
                (int) Math.min(Integer.MAX_VALUE, now - received.requestedMillis()),
                (int) (now - received.answeredMillis()));
    }

    /**
     * Applies the statements that another router received. Datagrams of other kinds are ignored.
     *
     * @param datagram the bytes
     */
    public void receive(byte[] datagram) {
        long now = clock.monotonicMillis();
        LoadStatementHint.decode(datagram).stream()
                .flatMap(hint -> hint.entries().stream())
                .forEach(e -> dependencies.registry().byRunHash(e.replica()).ifPresent(r -> {
                    dependencies.metrics().count(METRIC, SOURCE, "router");
                    r.statedLoad().observe(e.statement(), now - e.requestedAgeMillis(), now - e.answeredAgeMillis());
                }));
    }
}
