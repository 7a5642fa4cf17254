package org.hornbeamhead.core.claim;

/**
 * The layout and timing of the claim store. All processes of a fleet must use the same values.
 *
 * @param partitions the number of partitions over which the ids are distributed
 * @param windowMillis the length of a window, whose ids are stored in one value per partition, in milliseconds
 * @param slots the number of slots, which is the number of windows kept; the retention is one window less
 * @param commitIntervalMillis the minimum time between two commits of one window of a partition, in milliseconds
 * @param maxTries the number of times a write is tried before its claims fail
 */
public record ClaimStoreConfig(int partitions, long windowMillis, int slots, long commitIntervalMillis, int maxTries) {
    /** Retains ids for 12 minutes. A fleet that routes each claim to its owner does at most 200 writes per second. */
    public static final ClaimStoreConfig STANDARD = new ClaimStoreConfig(16, 2_000, 361, 80, 6);

    /** Validates the values. */
    public ClaimStoreConfig {
        if (partitions <= 0 || windowMillis <= 0 || slots < 2 || commitIntervalMillis < 0 || maxTries <= 0) {
            throw new IllegalArgumentException("claim store configuration value out of range");
        }
    }

    /**
     * Returns the window of an issue time.
     *
     * @param issuedMillis the issue time, in milliseconds since the Unix epoch
     * @return the window's number
     */
    public long windowOf(long issuedMillis) {
        return Math.floorDiv(issuedMillis, windowMillis);
    }

    /**
     * Returns the minimum time for which an id is kept.
     *
     * @return the time, in milliseconds
     */
    public long retentionMillis() {
        return windowMillis * (slots - 1);
    }

    /**
     * Returns the partition of a claim.
     *
     * @param claim the claim
     * @return a number from 0 (inclusive) to the number of partitions (exclusive)
     */
    public int partitionOf(Claim claim) {
        long bits = claim.id().getLeastSignificantBits() * 0x9E3779B97F4A7C15L;
        return (int) Math.floorMod(bits >>> 16, (long) partitions);
    }

    /**
     * Returns the key under which a window is stored.
     *
     * @param partition the partition's number
     * @param window the window's number
     * @return the key; windows whose numbers differ by a multiple of the number of slots share it
     */
    public String storeKey(int partition, long window) {
        return "claims/" + partition + "/" + Math.floorMod(window, (long) slots);
    }
}
