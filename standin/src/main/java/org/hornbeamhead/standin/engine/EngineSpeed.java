package org.hornbeamhead.standin.engine;

/**
 * How fast a stand-in engine is and how much it keeps.
 *
 * @param prefillTokensPerSecond prompt tokens computed a second
 * @param decodeMillis the time between tokens of a lone stream, in milliseconds
 * @param streamsToDouble how many streams at once double the time between tokens
 * @param maxStreams how many streams run at once
 * @param cacheTokens how many prompt tokens the cache holds
 * @param cacheMillis how long an unused block stays, in milliseconds
 */
public record EngineSpeed(
        int prefillTokensPerSecond,
        int decodeMillis,
        int streamsToDouble,
        int maxStreams,
        int cacheTokens,
        long cacheMillis) {
    /** A small engine that keeps tests short. */
    public static final EngineSpeed STANDARD = new EngineSpeed(40_000, 10, 32, 64, 120_000, 20_000);
}
