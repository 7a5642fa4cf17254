package org.hornbeamhead.standin.platform;

/**
 * The rates of the stand-in key-value service.
 *
 * @param readsPerSecond reads and watches it answers a second
 * @param writesPerSecond writes and lease calls it answers a second
 */
public record StoreLimits(int readsPerSecond, int writesPerSecond) {
    /** The rates that the users have measured of theirs. */
    public static final StoreLimits STANDARD = new StoreLimits(2_000, 400);
}
