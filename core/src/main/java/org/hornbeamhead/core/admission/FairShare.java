package org.hornbeamhead.core.admission;

import java.util.HashMap;
import java.util.Map;

/**
 * Tracks the recent usage of a pool per customer. Usage decays exponentially, so that an idle customer starts again
 * from zero.
 *
 * <p>Shares are equal, since operators configure no weights. They are enforced only while the pool is under load: a
 * customer over its share is refused until the load falls, and thus gets what the others leave unused.
 */
public final class FairShare {
    private static final double HALF_LIFE_MILLIS = 2_000;
    private static final double MIN_TRACKED_TOKENS = 1;
    private static final double TOLERANCE = 1.1;

    private record Usage(double tokens, long atMillis) {}

    private final Map<String, Usage> usages = new HashMap<>();

    /**
     * Records an admitted request of a customer.
     *
     * @param customer the customer
     * @param tokens the cost of the request in tokens
     * @param nowMillis the monotonic time
     */
    public void recordUsage(String customer, double tokens, long nowMillis) {
        usages.put(customer, new Usage(decayedTokens(customer, nowMillis) + tokens, nowMillis));
    }

    /**
     * Returns whether a customer has used more than its equal share of the pool.
     *
     * @param customer the customer
     * @param nowMillis the monotonic time
     * @return true if it is over its share; always false for a single customer
     */
    public boolean isOverShare(String customer, long nowMillis) {
        usages.keySet().removeIf(c -> decayedTokens(c, nowMillis) < MIN_TRACKED_TOKENS);
        double total = usages.keySet().stream()
                .mapToDouble(c -> decayedTokens(c, nowMillis))
                .sum();
        return usages.size() > 1 && decayedTokens(customer, nowMillis) > TOLERANCE * total / usages.size();
    }

    private double decayedTokens(String customer, long nowMillis) {
        Usage use = usages.get(customer);
        return use == null ? 0 : use.tokens() * Math.pow(0.5, (nowMillis - use.atMillis()) / HALF_LIFE_MILLIS);
    }
}
