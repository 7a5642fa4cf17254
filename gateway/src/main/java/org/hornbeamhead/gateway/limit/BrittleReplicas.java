package org.hornbeamhead.gateway.limit;

import com.google.common.flogger.FluentLogger;
import io.vavr.control.Either;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.function.DoubleSupplier;
import java.util.stream.Stream;
import org.hornbeamhead.core.limit.BrittleHint;
import org.hornbeamhead.core.time.Clock;
import org.hornbeamhead.core.time.Timers;
import org.hornbeamhead.daemon.Logs;
import org.hornbeamhead.daemon.Metrics;
import org.hornbeamhead.gateway.replica.LiveReplica;
import org.hornbeamhead.gateway.replica.ReplicaRegistry;
import org.hornbeamhead.gateway.state.PeerDatagrams;
import org.hornbeamhead.gateway.state.RouterList;
import org.hornbeamhead.gateway.state.UsageGossip;

/**
 * Applies what replicas state of the rejections that they bear, and exchanges it with other routers. Replicas that
 * state nothing cost nothing.
 */
public final class BrittleReplicas {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final long HINT_INTERVAL_MILLIS = 250;
    /** Rejections are told at once, but hints follow one another no faster than this. */
    private static final long MIN_HINT_INTERVAL_MILLIS = 20;
    /** For this long a statement of one replica holds for the others of its service, until they answer themselves. */
    private static final long SERVICE_STATEMENT_MILLIS = 3_000;
    /** A replica that rejected requests this short a time ago may fall over because of that. */
    private static final long FALL_MILLIS = 2_000;

    private final Dependencies dependencies;
    private final Clock clock;
    private final Map<String, ServiceStatement> byService = new HashMap<>();
    private int hintSequence;
    private long lastHintAtMillis = Long.MIN_VALUE / 2;

    private record ServiceStatement(int tolerance, long atMillis) {}

    /**
     * The dependencies.
     *
     * @param life a random number that identifies this run of the router
     * @param clock the clock
     * @param timers the timers of the current thread
     * @param registry the replicas
     * @param share returns this router's part of limits for all routers, above 0 and at most 1
     * @param routers the other routers
     * @param datagrams the socket for hints
     * @param metrics the metrics of the process
     */
    public record Dependencies(
            long life,
            Clock clock,
            Timers timers,
            ReplicaRegistry registry,
            DoubleSupplier share,
            RouterList routers,
            PeerDatagrams datagrams,
            Metrics metrics) {}

    /**
     * Creates a set of limits that is not exchanged yet.
     *
     * @param dependencies the dependencies
     */
    public BrittleReplicas(Dependencies dependencies) {
        this.dependencies = dependencies;
        this.clock = dependencies.clock();
    }

    /** Starts to exchange hints with other routers. */
    public void start() {
        dependencies.datagrams().addListener((from, bytes) -> BrittleHint.decode(bytes)
                .ifPresent(this::merge));
        dependencies.metrics().gauge("hornbeam_brittle_replicas", () -> dependencies.registry().all().stream()
                .filter(this::isBrittle)
                .count());
        dependencies.timers().schedule(HINT_INTERVAL_MILLIS, this::tick);
    }

    /**
     * Records what an answer states. An invalid statement changes nothing.
     *
     * @param replica the replica
     * @param statement the rejections a second that it bears, empty if it states none, or why that is invalid
     * @param requestedMillis when the request was sent, on the monotonic clock
     * @param request the id of the request, for the log
     */
    public void observe(
            LiveReplica replica, Either<String, OptionalInt> statement, long requestedMillis, String request) {
        statement
                .peekLeft(reason -> {
                    dependencies.metrics().count("hornbeam_brittle_statements", "stated", "invalid");
                    log(replica, request, "brittle statement ignored", reason);
                })
                .peek(stated -> stated.ifPresentOrElse(
                        tolerance -> recordStatement(replica, tolerance, request),
                        () -> recordSilence(replica, requestedMillis, request)));
    }

    private void recordStatement(LiveReplica replica, int tolerance, String request) {
        long now = clock.monotonicMillis();
        dependencies.metrics().count("hornbeam_brittle_statements", "stated", "brittle");
        byService.put(replica.entry().service(), new ServiceStatement(tolerance, now));
        if (replica.brittleLimit().recordStatement(tolerance, now)) {
            log(replica, request, "replica brittle", "tolerance=" + tolerance);
            sendHint();
        }
    }

    private void recordSilence(LiveReplica replica, long requestedMillis, String request) {
        if (replica.brittleLimit().recordSilence(requestedMillis)) {
            byService.remove(replica.entry().service());
            log(replica, request, "replica not brittle", "requestedMillis=" + requestedMillis);
        }
    }

    /**
     * Records that a replica turned a request away.
     *
     * @param replica the replica
     * @param request the id of the request, for the log
     */
    public void recordRejection(LiveReplica replica, String request) {
        long now = clock.monotonicMillis();
        replica.brittleLimit().recordRejection(now);
        if (isBrittle(replica)) {
            dependencies.metrics().count("hornbeam_brittle_rejections");
            log(
                    replica,
                    request,
                    "rejected by brittle replica",
                    "inLastSecond=" + replica.brittleLimit().knownRejections(now) + " running="
                            + replica.load().runningRequests(now));
            sendHint();
        }
    }

    /**
     * Returns whether a request finds room at a replica.
     *
     * @param replica the replica
     * @return true if it may be sent now
     */
    public boolean accepts(LiveReplica replica) {
        if (!isBrittle(replica)) {
            return true;
        }
        long now = clock.monotonicMillis();
        return replica.brittleLimit()
                .accepts(
                        replica.load().ownRequests(),
                        replica.load().runningRequests(now),
                        replica.entry().slots(),
                        dependencies.share().getAsDouble(),
                        now);
    }

    /**
     * Returns what {@link #accepts} would return, and changes nothing.
     *
     * @param replica the replica
     * @return true if a request may be sent now
     */
    public boolean wouldAccept(LiveReplica replica) {
        long now = clock.monotonicMillis();
        ServiceStatement statement = byService.get(replica.entry().service());
        boolean presumed = statement != null && now - statement.atMillis() <= SERVICE_STATEMENT_MILLIS;
        return replica.brittleLimit()
                .wouldAccept(
                        replica.load().ownRequests(),
                        replica.load().runningRequests(now),
                        replica.entry().slots(),
                        dependencies.share().getAsDouble(),
                        presumed ? OptionalInt.of(statement.tolerance()) : OptionalInt.empty(),
                        now);
    }

    /**
     * Returns whether the end of a replica may be due to requests that it turned away.
     *
     * @param replica the replica
     * @return true if it is brittle and turned requests away lately
     */
    public boolean mayHaveFallenOver(LiveReplica replica) {
        return isBrittle(replica) && replica.brittleLimit().hasRejectedSince(clock.monotonicMillis() - FALL_MILLIS);
    }

    private boolean isBrittle(LiveReplica replica) {
        if (byService.isEmpty() && !replica.brittleLimit().wasEverBrittle()) {
            return false;
        }
        long now = clock.monotonicMillis();
        if (replica.brittleLimit().isBrittle(now)) {
            return true;
        }
        ServiceStatement statement = byService.get(replica.entry().service());
        if (statement == null || now - statement.atMillis() > SERVICE_STATEMENT_MILLIS) {
            return false;
        }
        // A replica that fell over and is back has not answered yet, but is as brittle as the others.
        replica.brittleLimit().presume(statement.tolerance(), now);
        return true;
    }

    private void merge(BrittleHint hint) {
        long now = clock.monotonicMillis();
        hint.entries()
                .forEach(e -> dependencies.registry().byRunHash(e.replica()).ifPresent(r -> {
                    byService.put(r.entry().service(), new ServiceStatement(e.tolerance(), now));
                    r.brittleLimit().merge(hint.life(), hint.sequence(), e, now);
                }));
    }

    private void tick() {
        sendHint();
        dependencies.timers().schedule(HINT_INTERVAL_MILLIS, this::tick);
    }

    private void sendHint() {
        long now = clock.monotonicMillis();
        if (byService.isEmpty() || now - lastHintAtMillis < MIN_HINT_INTERVAL_MILLIS) {
            return;
        }
        List<BrittleHint.Entry> entries =
                stated(now).map(r -> r.brittleLimit().entry(r.runHash(), now)).toList();
        if (entries.isEmpty()) {
            return;
        }
        lastHintAtMillis = now;
        hintSequence++;
        byte[] hint = new BrittleHint(dependencies.life(), hintSequence, entries).encode();
        dependencies.routers().hintAddresses().stream()
                .limit(UsageGossip.MAX_PEERS)
                .forEach(a -> dependencies.datagrams().send(a, hint));
    }

    private Stream<LiveReplica> stated(long now) {
        return dependencies.registry().all().stream()
                .filter(r -> r.brittleLimit().isStatedToOwn(now));
    }

    private static void log(LiveReplica replica, String request, String decision, String inputs) {
        logger.atInfo()
                .with(Logs.REQUEST, request)
                .with(Logs.REPLICA, replica.entry().id())
                .with(Logs.DECISION, decision)
                .with(Logs.INPUTS, inputs)
                .log("%s: %s", decision, replica.entry().id());
    }
}
