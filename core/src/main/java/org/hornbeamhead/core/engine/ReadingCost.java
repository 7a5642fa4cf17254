package org.hornbeamhead.core.engine;

/** How long an engine takes to read tokens of a prompt; the figures are the deployments' sheets', for a 70 B model. */
public final class ReadingCost {
    /** Prompt tokens that an engine reads in a millisecond. */
    private static final double TOKENS_PER_MILLI = 44.2;
    /** Milliseconds for each million pairs of a token that is read and a token before it. */
    private static final double MILLIS_PER_MILLION_PAIRS = 0.737;

    private static final double MILLION = 1e6;

    private ReadingCost() {}

    /**
     * Predicts how long reading takes.
     *
     * @param before the tokens of the prompt that are cached before those that are read
     * @param fresh the tokens to read
     * @return milliseconds of the engine's work
     */
    public static double readMillis(int before, int fresh) {
        double pairs = fresh * (before + fresh / 2.0) / MILLION;
        return fresh / TOKENS_PER_MILLI + pairs * MILLIS_PER_MILLION_PAIRS;
    }
}
