package org.hornbeamhead.controller;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.IntStream;
import org.hornbeamhead.core.lease.LeaseManager;
import org.hornbeamhead.core.store.KeyValueStore;
import org.hornbeamhead.core.time.Clock;

/**
 * The fleet's two permissions to load weights, each a lease of the platform's service.
 *
 * <p>Failure: each pool's controller loads two replicas at a time, and with several pools all loads slow one another
 * down. A controller loads only as many replicas as it holds permissions.
 */
final class LoadSlots {
    private static final int SLOTS = 2;

    private final List<LeaseManager> keepers;
    private final Map<String, Integer> wanted = new TreeMap<>();

    LoadSlots(KeyValueStore store, Clock clock, String holder, Duration ttl) {
        this.keepers = IntStream.range(0, SLOTS)
                .mapToObj(i -> new LeaseManager(store, clock, "load-slot-" + i, holder, ttl))
                .toList();
    }

    void want(String pool, int loads) {
        wanted.put(pool, loads);
    }

    /** Seeks and renews what is needed, and gives back the rest. */
    void step() {
        int needed = wanted.values().stream().mapToInt(Integer::intValue).sum();
        for (int i = 0; i < SLOTS; i++) {
            if (i < needed) {
                keepers.get(i).renewOrAcquire();
            } else if (keepers.get(i).validLease().isPresent()) {
                keepers.get(i).release();
            }
        }
    }

    /** Tells how many loads a pool may have running. The pools of one process share by the order of their names. */
    int held(String pool) {
        int left =
                (int) keepers.stream().filter(k -> k.validLease().isPresent()).count();
        for (Map.Entry<String, Integer> entry : wanted.entrySet()) {
            int share = Math.min(left, entry.getValue());
            if (entry.getKey().equals(pool)) {
                return share;
            }
            left -= share;
        }
        return 0;
    }
}
