package org.hornbeamhead.core.engine;

/** How long an engine takes to read tokens of a prompt; the figures are the deployments' sheets', for a 70 B model. */
public final class ReadingCost {
    /** Prompt tokens that an engine reads in a millisecond. */
    private static final double TOKENS_PER_MILLI = 44.2;
    /** Milliseconds for each million pairs of a token that is read and a token before it. */
    private static final double MILLIS_PER_MILLION_PAIRS = 0.737;
    /** Cached tokens that come over a link in a millisecond, at 164 KB a token and 230 Gbit/s. */
    private static final double FETCHED_PER_MILLI = 175;
    /** Asking a source for parts, whether it has them or not. */
    private static final double FETCH_SETUP_MILLIS = 2;

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

    /**
     * Predicts how long fetching takes. Links carry it beside the engine's work.
     *
     * @param tokens the tokens to fetch
     * @return milliseconds
     */
    public static double fetchMillis(int tokens) {
        return FETCH_SETUP_MILLIS + tokens / FETCHED_PER_MILLI;
    }
}
