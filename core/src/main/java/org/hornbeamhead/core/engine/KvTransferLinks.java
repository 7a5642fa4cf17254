package org.hornbeamhead.core.engine;

import java.util.List;
import java.util.Optional;

/**
 * The links over which engines receive cached KV blocks: from other engines and from the KV stores.
 *
 * <p>Each prefix is assigned one store by its hash. With only one of three stores in use, its link is never idle, its
 * entries are evicted before they are requested again, and 42 engines prefill 6.3 of 28 million tokens again in 34 s.
 *
 * @param engineTokensPerMilli cached tokens that an engine's link carries in a millisecond
 * @param stores the KV stores, in the order of the configuration
 */
public record KvTransferLinks(double engineTokensPerMilli, List<Store> stores) {
    /** Transfers between data centres of one region take twice as long, as the deployments state. */
    private static final double OTHER_DATA_CENTRE_FACTOR = 2;
    /** Time to query a source, whether it has the blocks or not. */
    private static final double SETUP_MILLIS = 2;

    /** Speed of a link whose speed is not configured: the slowest one in the deployments. */
    private static final double DEFAULT_TOKENS_PER_MILLI = 175;

    private static final double BITS_PER_BYTE = 8;
    private static final double BITS_PER_MILLI_PER_MEGABIT = 1_000;

    /**
     * A KV store. All engines share its one link.
     *
     * @param address its IP address and port
     * @param dataCentre its data centre
     * @param tokensPerMilli cached tokens that its link carries in a millisecond
     */
    public record Store(String address, String dataCentre, double tokensPerMilli) {
        /**
         * Predicts how long a transfer to an engine occupies the link.
         *
         * @param tokens the number of tokens
         * @param target the data centre of the engine
         * @return milliseconds
         */
        double transferMillis(int tokens, String target) {
            return SETUP_MILLIS + tokens / tokensPerMilli * distanceFactor(dataCentre, target);
        }
    }

    /** Copies the stores, so that this record is immutable. */
    public KvTransferLinks {
        stores = List.copyOf(stores);
    }

    /**
     * Returns the store of a prefix, the same on every router.
     *
     * @param prefixHash a hash of the prefix with its salt
     * @return the store, empty when there is none
     */
    public Optional<Store> storeFor(long prefixHash) {
        return stores.isEmpty()
                ? Optional.empty()
                : Optional.of(stores.get((int) Math.floorMod(prefixHash, (long) stores.size())));
    }

    /**
     * Converts the speed of a link to cached tokens.
     *
     * @param megabits its speed, in megabits a second; 0 when it is not known
     * @param tokenBytes the bytes of a cached token; 0 when it is not known
     * @return tokens in a millisecond
     */
    public static double tokensPerMilli(double megabits, long tokenBytes) {
        return megabits > 0 && tokenBytes > 0
                ? megabits * BITS_PER_MILLI_PER_MEGABIT / (tokenBytes * BITS_PER_BYTE)
                : DEFAULT_TOKENS_PER_MILLI;
    }

    /**
     * Predicts the time of a transfer from one engine to another. Transfers run in parallel with the engines' work.
     *
     * @param tokens the number of tokens
     * @param source the data centre of the engine that holds them
     * @param target the data centre of the engine that needs them
     * @return milliseconds
     */
    double engineTransferMillis(int tokens, String source, String target) {
        return SETUP_MILLIS + tokens / engineTokensPerMilli * distanceFactor(source, target);
    }

    private static double distanceFactor(String source, String target) {
        return source.equals(target) ? 1 : OTHER_DATA_CENTRE_FACTOR;
    }
}
