package org.hornbeamhead.core.limit;

import java.util.List;
import java.util.stream.IntStream;

/**
 * How many requests one router sent to a replica recently, by time slot. Memory is taken with the first request.
 *
 * <p>Not thread-safe.
 */
final class RecentSends {
    /** The length of a slot; a request counts as sent at the end of its slot. */
    static final long SLOT_MILLIS = 100;
    /** The number of slots; older requests are forgotten. */
    static final int SLOTS = 50;

    private static final short[] NO_COUNTS = new short[SLOTS];

    private short[] counts = NO_COUNTS;
    private long latestSlot = Long.MIN_VALUE / 2;

    static long slot(long nowMillis) {
        return Math.floorDiv(nowMillis, SLOT_MILLIS);
    }

    void record(long nowMillis) {
        if (counts == NO_COUNTS) {
            counts = new short[SLOTS];
        }
        long slot = slot(nowMillis);
        for (long s = Math.max(latestSlot + 1, slot - SLOTS + 1); s <= slot; s++) {
            counts[index(s)] = 0;
        }
        latestSlot = Math.max(latestSlot, slot);
        if (counts[index(latestSlot)] < Short.MAX_VALUE) {
            counts[index(latestSlot)]++;
        }
    }

    /** Returns the number of requests of a slot, 0 if the slot is over the window. */
    int count(long slot) {
        return slot > latestSlot - SLOTS && slot <= latestSlot ? counts[index(slot)] : 0;
    }

    /** Returns the numbers of requests by age in slots, the present slot first, without zeros at the end. */
    List<Integer> byAge(long nowMillis) {
        long slot = slot(nowMillis);
        int oldest = IntStream.iterate(SLOTS - 1, age -> age >= 0, age -> age - 1)
                .filter(age -> count(slot - age) > 0)
                .findFirst()
                .orElse(-1);
        return IntStream.rangeClosed(0, oldest)
                .mapToObj(age -> count(slot - age))
                .toList();
    }

    private static int index(long slot) {
        return (int) Math.floorMod(slot, (long) SLOTS);
    }
}
