package org.hornbeamhead.core.engine;

/** Predicts the time of a prefill, with the figures of the deployments for a 70 B model. */
public final class PrefillCost {
    /** Prompt tokens that an engine prefills in a millisecond. */
    private static final double TOKENS_PER_MILLI = 44.2;
    /** Milliseconds for each million pairs of a prefilled token and a token before it. */
    private static final double MILLIS_PER_MILLION_PAIRS = 0.737;

    private static final double MILLION = 1e6;

    private PrefillCost() {}

    /**
     * Predicts the time of a prefill.
     *
     * @param cachedTokens the number of cached tokens before those to prefill
     * @param newTokens the number of tokens to prefill
     * @return milliseconds of the engine's work
     */
    public static double prefillMillis(int cachedTokens, int newTokens) {
        double millionPairs = newTokens * (cachedTokens + newTokens / 2.0) / MILLION;
        return newTokens / TOKENS_PER_MILLI + millionPairs * MILLIS_PER_MILLION_PAIRS;
    }
}
