package org.hornbeamhead.core.crash;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.BiPredicate;
import java.util.stream.IntStream;
import org.hornbeamhead.core.time.ManualClock;
import org.hornbeamhead.core.time.ManualTimers;

/** Simulates routers that exchange gossip datagrams over a network with delay, loss and partitions. */
final class GossipingRouters {
    final ManualClock clock = new ManualClock(0);
    final ManualTimers timers = new ManualTimers(clock);
    final Random random = new Random(4);
    final Map<String, CrashHistory> historyByRouter = new HashMap<>();
    private final Map<String, CrashGossip> gossipByRouter = new HashMap<>();
    final Map<String, Integer> sentByRouter = new HashMap<>();
    private static final long DELAY_MILLIS = 2;

    final List<String> names;
    private final double loss;
    BiPredicate<String, String> reachable = (from, to) -> true;

    GossipingRouters(int count, int activeCount, double loss) {
        this.names = IntStream.range(0, count).mapToObj(i -> "r" + i).toList();
        this.loss = loss;
        names.forEach(name -> start(name, activeCount));
    }

    void start(String name, int activeCount) {
        CrashHistory history = new CrashHistory(clock, 0, names::size);
        CrashGossip gossip = new CrashGossip(
                history,
                clock,
                timers,
                random,
                new CrashGossip.Peers(() -> peersOf(name, activeCount), () -> peersOf(name, names.size())),
                (to, bytes) -> send(name, to, bytes));
        history.setListener(gossip::reportChanged);
        historyByRouter.put(name, history);
        gossipByRouter.put(name, gossip);
    }

    private List<String> peersOf(String name, int count) {
        return names.stream().limit(count).filter(n -> !n.equals(name)).toList();
    }

    private void send(String from, String to, byte[] bytes) {
        sentByRouter.merge(from, 1, Integer::sum);
        if (reachable.test(from, to) && random.nextDouble() >= loss) {
            timers.schedule(DELAY_MILLIS, () -> gossipByRouter.get(to).receive(bytes));
        }
    }
}
