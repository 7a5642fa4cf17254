package org.hornbeamhead.gateway.state;

import io.activej.reactor.nio.NioReactor;
import io.activej.reactor.schedule.ScheduledRunnable;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Supplier;
import org.hornbeamhead.core.engine.EngineChoice;
import org.hornbeamhead.core.engine.LoadHint;
import org.hornbeamhead.core.entry.ActiveRouters;
import org.hornbeamhead.core.time.Clock;
import org.hornbeamhead.gateway.replica.LiveReplica;
import org.hornbeamhead.gateway.replica.ReplicaRegistry;

/**
 * Exchanges hints with other routers about the requests sent to replicas. Hints only improve the choice of replicas: a
 * lost datagram results in a worse choice, nothing else.
 */
public final class LoadHints {
    /** Interval of hints to other busy routers. A replica needs about this long to read a long prompt. */
    private static final long FLUSH_INTERVAL_MILLIS = 40;
    /**
     * With more receivers than this, hints are sent less often, so that their total size grows no faster than the
     * number of routers.
     */
    private static final int MAX_FULL_RATE_ROUTERS = 16;

    /** Interval of hints to inactive routers, which use them to select entry routers and as their initial load data. */
    private static final long BROADCAST_INTERVAL_MILLIS = 500;
    /**
     * Maximum number of routers that receive a hint; more would increase the load of each router as the fleet grows.
     */
    private static final int MAX_PEERS = 96;

    private final NioReactor reactor;
    private final Clock clock;
    private final ReplicaRegistry registry;
    private final Supplier<List<String>> peers;
    private final ActiveRouters activeRouters;
    private final PeerDatagrams datagrams;
    private final BiConsumer<LiveReplica, LoadHint.SentRequest> onSend;
    private final Runnable onHint;
    private final HintSequence toBusy = new HintSequence();
    private final HintSequence toOthers = new HintSequence();
    private long lastToOthersMillis;
    private long lastBroadcastMillis;
    private ScheduledRunnable nextFlush;
    private boolean idleInterval;

    /**
     * Creates an exchange of hints that is not started yet.
     *
     * @param reactor the reactor of this thread
     * @param clock the clock
     * @param registry the replicas
     * @param peers supplies the addresses at which other routers receive hints
     * @param activeRouters the routers that are active
     * @param datagrams the socket for hints
     * @param onSend called for each request that another router sent to a replica
     * @param onHint called after each hint of another router
     */
    public LoadHints(
            NioReactor reactor,
            Clock clock,
            ReplicaRegistry registry,
            Supplier<List<String>> peers,
            ActiveRouters activeRouters,
            PeerDatagrams datagrams,
            BiConsumer<LiveReplica, LoadHint.SentRequest> onSend,
            Runnable onHint) {
        this.reactor = reactor;
        this.clock = clock;
        this.registry = registry;
        this.peers = peers;
        this.activeRouters = activeRouters;
        this.datagrams = datagrams;
        this.onSend = onSend;
        this.onHint = onHint;
    }

    /** Starts to send and receive hints. */
    public void start() {
        datagrams.addListener((from, bytes) -> LoadHint.decode(bytes).ifPresent(hint -> apply(from, hint)));
        flush();
    }

    /**
     * Records a request that this router sent to a replica.
     *
     * @param replica the replica
     * @param choice how the replica was chosen
     */
    public void recordSent(LiveReplica replica, EngineChoice choice) {
        int readMillis = (int) Math.round(choice.prefillMillis());
        int storeMillis = (int) Math.round(choice.storeMillis());
        LoadHint.SentRequest sent =
                new LoadHint.SentRequest(replica.runHash(), choice.prefixHash(), readMillis, storeMillis);
        toBusy.recordSent(sent);
        toOthers.recordSent(sent);
        if (idleInterval) {
            nextFlush.cancel();
            scheduleFlush(FLUSH_INTERVAL_MILLIS);
        }
    }

    private void scheduleFlush(long millis) {
        idleInterval = millis == BROADCAST_INTERVAL_MILLIS;
        nextFlush = reactor.delayBackground(millis, this::flush);
    }

    private void flush() {
        long now = clock.monotonicMillis();
        List<LoadHint.ReplicaLoad> totals = registry.all().stream()
                .filter(r -> r.load().ownRequests() > 0)
                .map(r -> new LoadHint.ReplicaLoad(
                        r.runHash(),
                        r.load().ownRequests(),
                        r.load().ownLongAnswers(),
                        r.load().ownMemoryTokens()))
                .toList();
        int rate = (int) Math.ceil(activeRouters.ownRate(now));
        boolean broadcast = (rate > 0 || !totals.isEmpty()) && now - lastBroadcastMillis > BROADCAST_INTERVAL_MILLIS;
        Set<String> busyPeers = Set.copyOf(activeRouters.busyPeers(now));
        Set<String> otherPeers = new HashSet<>(activeRouters.activePeers(now));
        otherPeers.removeAll(busyPeers);
        if (broadcast || toBusy.hasChanges(totals)) {
            send(toBusy.next(rate, totals), busyPeers);
        }
        boolean othersDue = now - lastToOthersMillis >= interval(otherPeers.size());
        if (broadcast || (othersDue && toOthers.hasChanges(totals))) {
            send(toOthers.next(rate, totals), otherPeers);
            lastToOthersMillis = now;
        }
        if (broadcast) {
            Set<String> idlePeers = new HashSet<>(peers.get());
            idlePeers.removeAll(busyPeers);
            idlePeers.removeAll(otherPeers);
            send(new LoadHint(rate, totals, List.of()), idlePeers);
            lastBroadcastMillis = now;
        }
        scheduleFlush(totals.isEmpty() && rate == 0 ? BROADCAST_INTERVAL_MILLIS : interval(busyPeers.size()));
    }

    private static long interval(int receivers) {
        return FLUSH_INTERVAL_MILLIS * Math.max(1, receivers / MAX_FULL_RATE_ROUTERS);
    }

    private void send(LoadHint hint, Set<String> to) {
        byte[] datagram = hint.encode();
        to.stream().limit(MAX_PEERS).forEach(p -> datagrams.send(p, datagram));
    }

    private void apply(String from, LoadHint hint) {
        long now = clock.monotonicMillis();
        if (hint.requestsPerSecond() > 0 || !hint.sentRequests().isEmpty()) {
            activeRouters.recordPeer(from, hint.requestsPerSecond(), now);
        }
        hint.replicaLoads().forEach(t -> registry.byRunHash(t.replica())
                .ifPresent(r -> r.load().recordHint(from, t.running(), t.longAnswers(), t.memoryTokens(), now)));
        hint.sentRequests().forEach(s -> registry.byRunHash(s.replica()).ifPresent(r -> {
            r.load().recordHint(s.prefillMillis(), now);
            onSend.accept(r, s);
        }));
        onHint.run();
    }
}
