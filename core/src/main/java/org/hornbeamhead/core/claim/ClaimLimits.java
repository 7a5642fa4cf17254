package org.hornbeamhead.core.claim;

/**
 * The shape of the claims' store. All processes of a fleet must use the same.
 *
 * @param partitions how many groups the ids are spread over
 * @param windowMillis the span of issue times that share a value, in milliseconds
 * @param slots how many windows are kept; the retention is one window less
 * @param commitEveryMillis the shortest time between two writes of one group, in milliseconds
 * @param tries how often a write is tried before the claims are answered without a result
 */
public record ClaimLimits(int partitions, long windowMillis, int slots, long commitEveryMillis, int tries) {
    /** Twelve minutes of retention; at most 200 writes a second for a fleet whose claims meet at their owners. */
    public static final ClaimLimits STANDARD = new ClaimLimits(16, 2_000, 361, 80, 6);

    /** Checks the numbers. */
    public ClaimLimits {
        if (partitions <= 0 || windowMillis <= 0 || slots < 2 || commitEveryMillis < 0 || tries <= 0) {
            throw new IllegalArgumentException("limits out of range");
        }
    }

    /**
     * Gives the window of an issue time.
     *
     * @param issuedMillis milliseconds since the Unix epoch
     * @return the window's number
     */
    public long window(long issuedMillis) {
        return Math.floorDiv(issuedMillis, windowMillis);
    }

    /**
     * Gives the time that an id is kept at least.
     *
     * @return milliseconds
     */
    public long retentionMillis() {
        return windowMillis * (slots - 1);
    }

    /**
     * Gives the group of a claim.
     *
     * @param claim the claim
     * @return a number from 0 up to the number of partitions
     */
    public int partition(Claim claim) {
        long bits = claim.id().getLeastSignificantBits() * 0x9E3779B97F4A7C15L;
        return (int) Math.floorMod(bits >>> 16, (long) partitions);
    }

    /**
     * Gives the key of a window's value.
     *
     * @param partition the group
     * @param window the window
     * @return the key; windows further apart than the retention share it
     */
    public String key(int partition, long window) {
        return "claims/" + partition + "/" + Math.floorMod(window, (long) slots);
    }
}
