package org.hornbeamhead.core.crash;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.BiPredicate;
import java.util.stream.IntStream;
import org.hornbeamhead.core.time.ManualClock;
import org.hornbeamhead.core.time.ManualTimers;

/** Routers that send one another datagrams, some of which are lost. */
final class GossipingRouters {
    final ManualClock clock = new ManualClock(0);
    final ManualTimers timers = new ManualTimers(clock);
    final Random random = new Random(4);
    final Map<String, CrashHistory> histories = new HashMap<>();
    private final Map<String, CrashGossip> gossips = new HashMap<>();
    final Map<String, Integer> sent = new HashMap<>();
    private static final long DELAY_MILLIS = 2;

    final List<String> names;
    private final double loss;
    BiPredicate<String, String> reaches = (from, to) -> true;

    GossipingRouters(int count, int working, double loss) {
        this.names = IntStream.range(0, count).mapToObj(i -> "r" + i).toList();
        this.loss = loss;
        names.forEach(name -> start(name, working));
    }

    void start(String name, int working) {
        CrashHistory history = new CrashHistory(clock);
        CrashGossip gossip = new CrashGossip(
                history,
                clock,
                timers,
                random,
                new CrashGossip.Audience(() -> others(name, working), () -> others(name, names.size())),
                (to, bytes) -> send(name, to, bytes));
        history.listen(gossip::changed);
        histories.put(name, history);
        gossips.put(name, gossip);
    }

    private List<String> others(String name, int count) {
        return names.stream().limit(count).filter(n -> !n.equals(name)).toList();
    }

    private void send(String from, String to, byte[] bytes) {
        sent.merge(from, 1, Integer::sum);
        if (reaches.test(from, to) && random.nextDouble() >= loss) {
            timers.schedule(DELAY_MILLIS, () -> gossips.get(to).receive(bytes));
        }
    }
}
