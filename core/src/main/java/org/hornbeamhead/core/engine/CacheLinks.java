package org.hornbeamhead.core.engine;

import java.util.Optional;

/**
 * The links over which engines get cached parts: from one another, and from the store beside them.
 *
 * @param engineTokensPerMilli cached tokens that an engine's link carries in a millisecond
 * @param store the store beside the engines, empty when there is none
 */
public record CacheLinks(double engineTokensPerMilli, Optional<Store> store) {
    /** Parts between data centres of one region take twice as long; from the users' pages. */
    private static final double OTHER_DATA_CENTRE_FACTOR = 2;
    /** Asking a source for parts, whether it has them or not. */
    private static final double SETUP_MILLIS = 2;

    private static final double BITS_PER_BYTE = 8;
    private static final double BITS_PER_MEGABIT_MILLI = 1_000;

    /**
     * The store beside the engines. All engines share its one link.
     *
     * @param dataCentre where it stands
     * @param tokensPerMilli cached tokens that its link carries in a millisecond
     */
    public record Store(String dataCentre, double tokensPerMilli) {}

    /**
     * Tells how fast a link carries cached tokens.
     *
     * @param megabits its speed, in megabits a second
     * @param tokenBytes the bytes of a cached token
     * @return tokens in a millisecond
     */
    public static double tokensPerMilli(double megabits, long tokenBytes) {
        return megabits * BITS_PER_MEGABIT_MILLI / (tokenBytes * BITS_PER_BYTE);
    }

    /**
     * Predicts how long parts take from one engine to another. Links carry them beside the engines' work.
     *
     * @param tokens the tokens
     * @param from the data centre that holds them
     * @param to the data centre that needs them
     * @return milliseconds
     */
    double engineMillis(int tokens, String from, String to) {
        return SETUP_MILLIS + tokens / engineTokensPerMilli * factor(from, to);
    }

    /**
     * Predicts how long the store's link is busy with parts for an engine.
     *
     * @param tokens the tokens
     * @param to the data centre that needs them
     * @return milliseconds; empty without a store
     */
    Optional<Double> storeMillis(int tokens, String to) {
        return store.map(s -> SETUP_MILLIS + tokens / s.tokensPerMilli() * factor(s.dataCentre(), to));
    }

    private static double factor(String from, String to) {
        return from.equals(to) ? 1 : OTHER_DATA_CENTRE_FACTOR;
    }
}
