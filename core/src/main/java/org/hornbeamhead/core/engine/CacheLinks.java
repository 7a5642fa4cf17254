package org.hornbeamhead.core.engine;

import java.util.List;
import java.util.Optional;

/**
 * The links over which engines get cached parts: from one another, and from the stores beside them.
 *
 * <p>Failure: of three stores only one is used. Symptom: its link is never idle, its memory turns over before parts are
 * asked for again, and 42 engines read 6.3 of 28 million tokens again in 34 s. Each beginning has one store by its
 * hash.
 *
 * @param engineTokensPerMilli cached tokens that an engine's link carries in a millisecond
 * @param stores the stores beside the engines, in the order of the configuration
 */
public record CacheLinks(double engineTokensPerMilli, List<Store> stores) {
    /** Parts between data centres of one region take twice as long; from the users' pages. */
    private static final double OTHER_DATA_CENTRE_FACTOR = 2;
    /** Asking a source for parts, whether it has them or not. */
    private static final double SETUP_MILLIS = 2;

    /** A link of which the configuration says nothing is taken for as fast as the slowest of the sheets. */
    private static final double UNSTATED_TOKENS_PER_MILLI = 175;

    private static final double BITS_PER_BYTE = 8;
    private static final double BITS_PER_MEGABIT_MILLI = 1_000;

    /**
     * A store beside the engines. All engines share its one link.
     *
     * @param address its IP address and port
     * @param dataCentre where it stands
     * @param tokensPerMilli cached tokens that its link carries in a millisecond
     */
    public record Store(String address, String dataCentre, double tokensPerMilli) {
        /**
         * Predicts how long the link is busy with parts for an engine.
         *
         * @param tokens the tokens
         * @param to the data centre that needs them
         * @return milliseconds
         */
        double millis(int tokens, String to) {
            return SETUP_MILLIS + tokens / tokensPerMilli * factor(dataCentre, to);
        }
    }

    /** Copies the stores, so that the links cannot change. */
    public CacheLinks {
        stores = List.copyOf(stores);
    }

    /**
     * Finds the store of a beginning, the same for every router.
     *
     * @param beginning a hash of the beginning with its salt
     * @return the store, empty when there is none
     */
    public Optional<Store> store(long beginning) {
        return stores.isEmpty()
                ? Optional.empty()
                : Optional.of(stores.get((int) Math.floorMod(beginning, (long) stores.size())));
    }

    /**
     * Tells how fast a link carries cached tokens.
     *
     * @param megabits its speed, in megabits a second; 0 when it is not known
     * @param tokenBytes the bytes of a cached token; 0 when it is not known
     * @return tokens in a millisecond
     */
    public static double tokensPerMilli(double megabits, long tokenBytes) {
        return megabits > 0 && tokenBytes > 0
                ? megabits * BITS_PER_MEGABIT_MILLI / (tokenBytes * BITS_PER_BYTE)
                : UNSTATED_TOKENS_PER_MILLI;
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

    private static double factor(String from, String to) {
        return from.equals(to) ? 1 : OTHER_DATA_CENTRE_FACTOR;
    }
}
