package org.hornbeamhead.core.placement;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.BitSet;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import net.openhft.hashing.LongHashFunction;

/**
 * A consistent hash ring: a pure function of the replicas' names. Every router that knows the same names walks the same
 * order, so that placements agree without a message. Immutable; a change of replicas makes a new ring.
 *
 * <p>A look-up costs a binary search. Each replica owns {@value #POINTS} points, which keeps the largest arc near the
 * mean.
 */
public final class ReplicaRing {
    private static final int POINTS = 64;

    /** The low bits of a point name its owner, so that points and owners are sorted together as plain numbers. */
    private static final long OWNER_MASK = (1L << 20) - 1;

    private final List<String> names;
    private final long[] points;

    private ReplicaRing(List<String> names, long[] points) {
        this.names = names;
        this.points = points;
    }

    /**
     * Builds a ring.
     *
     * @param replicas the names; order and doubles do not matter
     * @return the ring
     */
    public static ReplicaRing of(Collection<String> replicas) {
        List<String> names = replicas.stream().distinct().sorted().toList();
        long[] points = new long[names.size() * POINTS];
        for (int i = 0; i < names.size(); i++) {
            long seed = LongHashFunction.xx3().hashBytes(names.get(i).getBytes(StandardCharsets.UTF_8));
            for (int p = 0; p < POINTS; p++) {
                points[i * POINTS + p] = (mix(seed, p) & ~OWNER_MASK) | i;
            }
        }
        Arrays.sort(points);
        return new ReplicaRing(names, points);
    }

    /**
     * Gives a ring of other replicas; this one when they are the same.
     *
     * @param replicas the names; order and doubles do not matter
     * @return the ring
     */
    public ReplicaRing with(Collection<String> replicas) {
        boolean same = replicas.size() == names.size() && new HashSet<>(names).containsAll(replicas);
        return same ? this : of(replicas);
    }

    /**
     * Walks the ring from a key.
     *
     * @param key the key
     * @param count how many replicas at most
     * @return distinct names in ring order
     */
    public List<String> walk(long key, int count) {
        int wanted = Math.min(count, names.size());
        List<String> found = new ArrayList<>(wanted);
        BitSet seen = new BitSet(names.size());
        int at = Arrays.binarySearch(points, mix(key, 0));
        int start = at >= 0 ? at : -at - 1;
        for (int i = 0; i < points.length && found.size() < wanted; i++) {
            int owner = (int) (points[(start + i) % points.length] & OWNER_MASK);
            if (!seen.get(owner)) {
                seen.set(owner);
                found.add(names.get(owner));
            }
        }
        return found;
    }

    /**
     * Counts the replicas.
     *
     * @return the number of distinct names
     */
    public int size() {
        return names.size();
    }

    /**
     * Mixes two numbers into one that is spread evenly (the finalizer of SplitMix64).
     *
     * @param a a number
     * @param b a number
     * @return the mix
     */
    public static long mix(long a, long b) {
        long z = a + 0x9E3779B97F4A7C15L * (b + 1);
        z = (z ^ (z >>> 30)) * 0xBF58476D1CE4E5B9L;
        z = (z ^ (z >>> 27)) * 0x94D049BB133111EBL;
        return z ^ (z >>> 31);
    }
}
