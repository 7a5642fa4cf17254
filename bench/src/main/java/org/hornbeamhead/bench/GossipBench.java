package org.hornbeamhead.bench;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.hornbeamhead.core.membership.GossipLimits;
import org.hornbeamhead.core.membership.GossipListener;
import org.hornbeamhead.core.membership.GossipMessage;
import org.hornbeamhead.core.membership.GossipNode;
import org.hornbeamhead.core.membership.Member;
import org.hornbeamhead.core.membership.MemberStatus;
import org.hornbeamhead.core.time.ManualClock;
import org.hornbeamhead.core.time.ManualTimers;
import org.hornbeamhead.peer.GossipCodec;

/**
 * A fleet of membership nodes in virtual time: what gossip costs a node, how long a failure takes to be known to all,
 * and how long a configuration takes to be in force everywhere.
 */
final class GossipBench {
    private static final long DELAY_MILLIS = 20;
    private static final long SETTLE_MILLIS = 20_000;
    private static final long MEASURED_MILLIS = 60_000;
    private static final long STEP_MILLIS = 20;
    private static final long GIVE_UP_MILLIS = 120_000;
    /** IP and UDP headers. */
    private static final int HEADER_BYTES = 28;

    private static final int DEAD_NODES_PER_THOUSAND = 10;
    /** A fetch of one changed section over an open HTTP/2 connection, request and answer. */
    private static final int FETCH_BYTES = 700;

    private final int size;
    private final ManualClock clock = new ManualClock(1_000_000);
    private final ManualTimers timers = new ManualTimers(clock);
    private final SplittableRandom random;
    private final Map<String, GossipNode> nodes = new TreeMap<>();
    private final Map<String, Long> versions = new HashMap<>();
    private final Map<String, Boolean> dead = new HashMap<>();
    private long bytes;
    private long messages;
    private long fetches;
    private long codecNanos;
    private long nodeNanos;

    GossipBench(int size, long seed) {
        this.size = size;
        this.random = new SplittableRandom(seed);
        List<Member> listed = new ArrayList<>();
        for (int i = 0; i < size; i++) {
            listed.add(new Member(
                    "10.0." + i / 250 + "." + i % 250 + ":8081",
                    "10.0." + i / 250 + "." + i % 250 + ":8080",
                    1_800_000_000_000L,
                    MemberStatus.ALIVE));
        }
        listed.forEach(this::open);
        nodes.values().forEach(n -> n.updateHostList(listed));
    }

    private void open(Member self) {
        String peer = self.peerAddress();
        GossipNode node = new GossipNode(
                self,
                clock,
                timers,
                random.split(),
                GossipLimits.STANDARD,
                (to, message) -> send(peer, to, message),
                new GossipListener() {
                    @Override
                    public void membersChanged() {
                        // Measured by looking at the members.
                    }

                    @Override
                    public void newerConfig(String from, long version) {
                        fetches++;
                        timers.schedule(2 * DELAY_MILLIS, () -> adopt(peer, version));
                    }
                });
        nodes.put(peer, node);
        node.start();
    }

    private void adopt(String peer, long version) {
        if (versions.merge(peer, version, Math::max) == version) {
            nodes.get(peer).updateConfigVersion(version);
        }
    }

    private void send(String from, String to, GossipMessage message) {
        long start = System.nanoTime();
        byte[] datagram = GossipCodec.encode(message);
        codecNanos += System.nanoTime() - start;
        bytes += datagram.length + HEADER_BYTES;
        messages++;
        timers.schedule(DELAY_MILLIS, () -> receive(from, to, datagram));
    }

    private void receive(String from, String to, byte[] datagram) {
        if (dead.containsKey(from) || dead.containsKey(to)) {
            return;
        }
        long start = System.nanoTime();
        GossipMessage message = GossipCodec.decode(datagram).orElseThrow();
        codecNanos += System.nanoTime() - start;
        long began = System.nanoTime();
        nodes.get(to).receive(message);
        nodeNanos += System.nanoTime() - began;
    }

    GossipResult run() {
        timers.advance(SETTLE_MILLIS);
        bytes = 0;
        messages = 0;
        codecNanos = 0;
        nodeNanos = 0;
        timers.advance(MEASURED_MILLIS);
        double seconds = MEASURED_MILLIS / 1000.0;
        double bytesPerNode = bytes / seconds / size;
        double messagesPerNode = messages / seconds / size;
        double cpuPercent = (codecNanos + nodeNanos) / 1e9 / seconds / size * 100;
        fetches = 0;
        long configMillis = configEverywhere();
        double fetchesPerNode = (double) fetches / size;
        return new GossipResult(
                size,
                bytesPerNode,
                messagesPerNode,
                cpuPercent,
                killSome(),
                configMillis,
                fetchesPerNode * FETCH_BYTES);
    }

    private long configEverywhere() {
        String first = nodes.keySet().iterator().next();
        long start = clock.monotonicMillis();
        adopt(first, 1);
        while (versions.size() < size && clock.monotonicMillis() - start < GIVE_UP_MILLIS) {
            timers.advance(STEP_MILLIS);
        }
        return clock.monotonicMillis() - start;
    }

    /** Ends one in a hundred at once, as a rack does, and gives the time until all others believe it of all. */
    private long killSome() {
        int count = Math.max(1, size * DEAD_NODES_PER_THOUSAND / 1000);
        nodes.keySet().stream().skip(size / 3).limit(count).forEach(p -> dead.put(p, true));
        long start = clock.monotonicMillis();
        while (!allKnow() && clock.monotonicMillis() - start < GIVE_UP_MILLIS) {
            timers.advance(STEP_MILLIS * 5);
        }
        return clock.monotonicMillis() - start;
    }

    private boolean allKnow() {
        return nodes.entrySet().stream()
                .filter(e -> !dead.containsKey(e.getKey()))
                .allMatch(e -> e.getValue().members().stream()
                        .filter(m -> dead.containsKey(m.peerAddress()))
                        .allMatch(m -> m.status() == MemberStatus.DEAD));
    }
}
