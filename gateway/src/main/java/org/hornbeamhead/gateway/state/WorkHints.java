package org.hornbeamhead.gateway.state;

import com.google.common.flogger.FluentLogger;
import io.activej.bytebuf.ByteBuf;
import io.activej.net.socket.udp.UdpPacket;
import io.activej.net.socket.udp.UdpSocket;
import io.activej.reactor.nio.NioReactor;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.DatagramChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BiConsumer;
import java.util.function.Supplier;
import org.hornbeamhead.core.engine.EngineChoice;
import org.hornbeamhead.core.engine.WorkHint;
import org.hornbeamhead.core.settings.Addresses;
import org.hornbeamhead.core.time.Clock;
import org.hornbeamhead.gateway.replica.LiveReplica;
import org.hornbeamhead.gateway.replica.ReplicaRegistry;

/**
 * Tells other routers what this one has sent where, and takes what they tell. Hints only better the choice of replicas:
 * a lost datagram costs a worse choice, nothing else.
 */
public final class WorkHints {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    /** After a failed receive; one line of the log a second at most. */
    private static final long RECEIVE_AGAIN_MILLIS = 1_000;

    /** How soon others hear of a request. A replica reads a long prompt in about this time. */
    private static final long FLUSH_MILLIS = 40;
    /** With more routers than this, hints go out less often, so that their bytes grow with the routers, not faster. */
    private static final int FULL_RATE_ROUTERS = 16;

    private static final long REPEAT_MILLIS = 500;
    /** Routers that hear every hint; more would cost each router more as the fleet grows. */
    private static final int MAX_PEERS = 96;

    private final NioReactor reactor;
    private final Clock clock;
    private final ReplicaRegistry registry;
    private final Supplier<List<String>> peers;
    private final BiConsumer<LiveReplica, WorkHint.Send> onSend;
    private final List<WorkHint.Send> sends = new ArrayList<>();
    private UdpSocket socket;
    private List<WorkHint.Total> told = List.of();
    private long toldAt;

    /**
     * Makes hints that are not told yet.
     *
     * @param reactor the thread's reactor
     * @param clock the clock
     * @param registry the replicas
     * @param peers the addresses at which other routers take hints
     * @param onSend called for each request that another router sent
     */
    public WorkHints(
            NioReactor reactor,
            Clock clock,
            ReplicaRegistry registry,
            Supplier<List<String>> peers,
            BiConsumer<LiveReplica, WorkHint.Send> onSend) {
        this.reactor = reactor;
        this.clock = clock;
        this.registry = registry;
        this.peers = peers;
        this.onSend = onSend;
    }

    /**
     * Starts to tell and to take hints.
     *
     * @param address where hints are taken
     * @throws IOException when the address cannot be bound
     */
    public void start(InetSocketAddress address) throws IOException {
        DatagramChannel channel = DatagramChannel.open();
        channel.configureBlocking(false);
        channel.bind(address);
        socket = UdpSocket.connect(reactor, channel).getResult();
        receive();
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
        sends.add(new WorkHint.Send(replica.hash(), choice.beginning(), read, store));
    }

    private void flush() {
        List<String> others = peers.get();
        long now = clock.monotonicMillis();
        List<WorkHint.Total> totals = registry.all().stream()
                .filter(r -> r.load().own() > 0)
                .map(r -> new WorkHint.Total(
                        r.hash(),
                        r.load().own(),
                        r.load().ownLongAnswers(),
                        r.load().ownMemoryTokens()))
                .toList();
        boolean news = !sends.isEmpty() || !totals.equals(told);
        if (news || (!totals.isEmpty() && now - toldAt > REPEAT_MILLIS)) {
            byte[] datagram = new WorkHint(withEnded(totals), List.copyOf(sends)).encode();
            others.stream().limit(MAX_PEERS).forEach(p -> Addresses.parse(p)
                    .forEach(to -> socket.send(UdpPacket.of(ByteBuf.wrapForReading(datagram), to))));
            told = totals;
            toldAt = now;
        }
        sends.clear();
        long slower = Math.max(1, others.size() / FULL_RATE_ROUTERS);
        reactor.delayBackground(FLUSH_MILLIS * slower, this::flush);
    }

    /** Replicas where the router had work, and has none now, are told with zero. */
    private List<WorkHint.Total> withEnded(List<WorkHint.Total> totals) {
        List<WorkHint.Total> all = new ArrayList<>(totals);
        told.stream()
                .filter(t -> totals.stream().noneMatch(n -> n.replica() == t.replica()))
                .forEach(t -> all.add(new WorkHint.Total(t.replica(), 0, 0, 0)));
        return all;
    }

    private void receive() {
        socket.receive().subscribe((packet, e) -> {
            if (e != null) {
                logger.atWarning().withCause(e).log("a hint could not be received");
                reactor.delayBackground(RECEIVE_AGAIN_MILLIS, this::receive);
                return;
            }
            String from = packet.getSocketAddress().getAddress().getHostAddress();
            WorkHint.decode(packet.getBuf().asArray()).ifPresent(hint -> take(from, hint));
            receive();
        });
    }

    private void take(String from, WorkHint hint) {
        long now = clock.monotonicMillis();
        hint.totals().forEach(t -> registry.byHash(t.replica())
                .ifPresent(r -> r.load().hinted(from, t.running(), t.longAnswers(), t.memoryTokens(), now)));
        hint.sends().forEach(s -> registry.byHash(s.replica()).ifPresent(r -> {
            r.load().hinted(s.readMillis(), now);
            onSend.accept(r, s);
        }));
    }
}
