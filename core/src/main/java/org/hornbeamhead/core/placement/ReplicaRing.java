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
 * A consistent hash ring, which is a pure function of the replicas' names. All routers that know the same names get the
 * same order, so that their placements agree without communication. Immutable; a change of replicas creates a new ring.
 *
 * <p>A lookup is a binary search. Each replica owns {@value #POINTS_PER_REPLICA} points, which keeps the largest arc
 * near the mean.
 */
public final class ReplicaRing {
    private static final int POINTS_PER_REPLICA = 64;

    /**
     * The low bits of a point hold the index of its owner, so that points and owners are sorted together as numbers.
     */
    private static final long OWNER_MASK = (1L << 20) - 1;

    private final List<String> names;
    private final long[] points;

    private ReplicaRing(List<String> names, long[] points) {
        this.names = names;
        this.points = points;
    }

    /**
     * Creates a ring.
     *
     * @param replicas the names of the replicas; order and duplicates are ignored
     * @return the ring
     */
    public static ReplicaRing of(Collection<String> replicas) {
        List<String> names = replicas.stream().distinct().sorted().toList();
        long[] points = new long[names.size() * POINTS_PER_REPLICA];
        for (int i = 0; i < names.size(); i++) {
            long seed = LongHashFunction.xx3().hashBytes(names.get(i).getBytes(StandardCharsets.UTF_8));
            for (int p = 0; p < POINTS_PER_REPLICA; p++) {
                points[i * POINTS_PER_REPLICA + p] = (mix(seed, p) & ~OWNER_MASK) | i;
            }
        }
        Arrays.sort(points);
        return new ReplicaRing(names, points);
    }

    /**
     * Returns a ring of the given replicas, or this one if they are the same.
     *
     * @param replicas the names of the replicas; order and duplicates are ignored
     * @return the ring
     */
    public ReplicaRing withReplicas(Collection<String> replicas) {
        boolean same = replicas.size() == names.size() && new HashSet<>(names).containsAll(replicas);
        return same ? this : of(replicas);
    }

    /**
     * Returns the replicas that follow a key on the ring.
     *
     * @param key the key
     * @param count the maximum number of replicas
     * @return distinct names in ring order
     */
    public List<String> walk(long key, int count) {
        int wanted = Math.min(count, names.size());
        List<String> found = new ArrayList<>(wanted);
        BitSet seen = new BitSet(names.size());
        int position = Arrays.binarySearch(points, mix(key, 0));
        int start = position >= 0 ? position : -position - 1;
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
     * Returns the number of replicas.
     *
     * @return the number of distinct names
     */
    public int size() {
        return names.size();
    }

    /**
     * Hashes two numbers to one that is evenly distributed (the finalizer of SplitMix64).
     *
     * @param a the first number
     * @param b the second number
     * @return the hash
     */
    public static long mix(long a, long b) {
        long hash = a + 0x9E3779B97F4A7C15L * (b + 1);
        hash = (hash ^ (hash >>> 30)) * 0xBF58476D1CE4E5B9L;
        hash = (hash ^ (hash >>> 27)) * 0x94D049BB133111EBL;
        return hash ^ (hash >>> 31);
    }
}
