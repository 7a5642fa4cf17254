package org.hornbeamhead.core.claim;

import java.util.UUID;
import java.util.random.RandomGenerator;

/** Generates ids that contain their issue time: UUIDs of version 7 (RFC 9562). */
public final class ClaimIds {
    private static final int TIME_SHIFT = 16;
    private static final long VERSION_7 = 0x7000L;
    private static final long RANDOM_12 = 0x0FFFL;
    private static final long VARIANT = 0x8000000000000000L;
    private static final long RANDOM_62 = 0x3FFFFFFFFFFFFFFFL;

    private ClaimIds() {}

    /**
     * Generates an id.
     *
     * @param wallMillis the issue time, in milliseconds since the Unix epoch
     * @param random the source of randomness
     * @return the id
     */
    public static UUID next(long wallMillis, RandomGenerator random) {
        long high = (wallMillis << TIME_SHIFT) | VERSION_7 | (random.nextLong() & RANDOM_12);
        long low = VARIANT | (random.nextLong() & RANDOM_62);
        return new UUID(high, low);
    }
}
