package org.hornbeamhead.gateway.state;

import io.activej.reactor.nio.NioReactor;
import io.activej.reactor.schedule.ScheduledRunnable;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Supplier;
import org.hornbeamhead.core.engine.EngineChoice;
import org.hornbeamhead.core.engine.WorkHint;
import org.hornbeamhead.core.entry.WorkingRouters;
import org.hornbeamhead.core.time.Clock;
import org.hornbeamhead.gateway.replica.LiveReplica;
import org.hornbeamhead.gateway.replica.ReplicaRegistry;

/**
 * Tells other routers what this one has sent where, and takes what they tell. Hints only better the choice of replicas:
 * a lost datagram costs a worse choice, nothing else.
 */
public final class WorkHints {
    /** How soon other routers with work hear of a request. A replica reads a long prompt in about this time. */
    private static final long FLUSH_MILLIS = 40;
    /**
     * With more routers at work than this, hints go out less often, so that their bytes grow with the routers, not
     * faster.
     */
    private static final int FULL_RATE_ROUTERS = 16;

    /** How often routers without work hear of this one's, so that they know whom to name and what to begin with. */
    private static final long REPEAT_MILLIS = 500;
    /** Routers that hear every hint; more would cost each router more as the fleet grows. */
    private static final int MAX_PEERS = 96;

    private final NioReactor reactor;
    private final Clock clock;
    private final ReplicaRegistry registry;
    private final Supplier<List<String>> peers;
    private final WorkingRouters working;
    private final PeerDatagrams datagrams;
    private final BiConsumer<LiveReplica, WorkHint.Send> onSend;
    private final List<WorkHint.Send> sends = new ArrayList<>();
    private List<WorkHint.Total> told = List.of();
    private long toldAllAt;
    private ScheduledRunnable nextFlush;
    private boolean idle;

    /**
     * Makes hints that are not told yet.
     *
     * @param reactor the thread's reactor
     * @param clock the clock
     * @param registry the replicas
     * @param peers the addresses at which other routers take hints
     * @param working which routers have work
     * @param datagrams the socket for hints
     * @param onSend called for each request that another router sent
     */
    public WorkHints(
            NioReactor reactor,
            Clock clock,
            ReplicaRegistry registry,
            Supplier<List<String>> peers,
            WorkingRouters working,
            PeerDatagrams datagrams,
            BiConsumer<LiveReplica, WorkHint.Send> onSend) {
        this.reactor = reactor;
        this.clock = clock;
        this.registry = registry;
        this.peers = peers;
        this.working = working;
        this.datagrams = datagrams;
        this.onSend = onSend;
    }

    /** Starts to tell and to take hints. */
    public void start() {
        datagrams.listen((from, bytes) -> WorkHint.decode(bytes).ifPresent(hint -> take(from, hint)));
        flush();
    }

    /**
     * Notes a request that this router sent.
     *
     * @param replica the replica
     * @param choice how it was chosen
     */
    public void sent(LiveReplica replica, EngineChoice choice) {
        int read = (int) Math.round(choice.readMillis());
        int store = (int) Math.round(choice.storeMillis());
        sends.add(new WorkHint.Send(replica.runHash(), choice.beginning(), read, store));
        if (idle) {
            nextFlush.cancel();
            flushIn(FLUSH_MILLIS);
        }
    }

    private void flushIn(long millis) {
        idle = millis == REPEAT_MILLIS;
        nextFlush = reactor.delayBackground(millis, this::flush);
    }

    private void flush() {
        long now = clock.monotonicMillis();
        List<WorkHint.Total> totals = registry.all().stream()
                .filter(r -> r.load().own() > 0)
                .map(r -> new WorkHint.Total(
                        r.runHash(),
                        r.load().own(),
                        r.load().ownLongAnswers(),
                        r.load().ownMemoryTokens()))
                .toList();
        int rate = (int) Math.ceil(working.ownRate(now));
        boolean news = !sends.isEmpty() || !totals.equals(told);
        boolean repeat = (rate > 0 || !totals.isEmpty()) && now - toldAllAt > REPEAT_MILLIS;
        Set<String> near = Set.copyOf(working.others(now));
        if (news || repeat) {
            send(new WorkHint(rate, withEnded(totals), List.copyOf(sends)), near);
            told = totals;
        }
        if (repeat) {
            Set<String> far = new HashSet<>(peers.get());
            far.removeAll(near);
            send(new WorkHint(rate, totals, List.of()), far);
            toldAllAt = now;
        }
        sends.clear();
        long slower = Math.max(1, near.size() / FULL_RATE_ROUTERS);
        flushIn(totals.isEmpty() && rate == 0 ? REPEAT_MILLIS : FLUSH_MILLIS * slower);
    }

    private void send(WorkHint hint, Set<String> to) {
        byte[] datagram = hint.encode();
        to.stream().limit(MAX_PEERS).forEach(p -> datagrams.send(p, datagram));
    }

    /** Replicas where the router had work, and has none now, are told with zero. */
    private List<WorkHint.Total> withEnded(List<WorkHint.Total> totals) {
        List<WorkHint.Total> all = new ArrayList<>(totals);
        told.stream()
                .filter(t -> totals.stream().noneMatch(n -> n.replica() == t.replica()))
                .forEach(t -> all.add(new WorkHint.Total(t.replica(), 0, 0, 0)));
        return all;
    }

    private void take(String from, WorkHint hint) {
        long now = clock.monotonicMillis();
        if (hint.requestsPerSecond() > 0 || !hint.sends().isEmpty()) {
            working.heard(from, hint.requestsPerSecond(), now);
        }
        hint.totals().forEach(t -> registry.byRunHash(t.replica())
                .ifPresent(r -> r.load().hinted(from, t.running(), t.longAnswers(), t.memoryTokens(), now)));
        hint.sends().forEach(s -> registry.byRunHash(s.replica()).ifPresent(r -> {
            r.load().hinted(s.readMillis(), now);
            onSend.accept(r, s);
        }));
    }
}
