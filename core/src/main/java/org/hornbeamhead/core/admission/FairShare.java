package org.hornbeamhead.core.admission;

import java.util.HashMap;
import java.util.Map;

/**
 * How much of a pool each customer has used lately. The use fades, so that a quiet customer starts afresh.
 *
 * <p>Shares are equal: the operators state no weights. The question is asked only while the pool is pressed; a customer
 * that is over its part is held back until the pressure is gone, and so takes whatever the others leave.
 */
public final class FairShare {
    private static final double HALF_LIFE_MILLIS = 2_000;
    private static final double FORGOTTEN_TOKENS = 1;
    private static final double TOLERANCE = 1.1;

    private record Use(double tokens, long atMillis) {}

    private final Map<String, Use> uses = new HashMap<>();

    /**
     * Notes that a customer's request was let in.
     *
     * @param customer the customer
     * @param tokens what it costs
     * @param nowMillis the monotonic time
     */
    public void used(String customer, double tokens, long nowMillis) {
        uses.put(customer, new Use(faded(customer, nowMillis) + tokens, nowMillis));
    }

    /**
     * Tells whether a customer has had more than its equal part among those who use the pool.
     *
     * @param customer the customer
     * @param nowMillis the monotonic time
     * @return true when it is over; never true for the only customer
     */
    public boolean isOver(String customer, long nowMillis) {
        uses.keySet().removeIf(c -> faded(c, nowMillis) < FORGOTTEN_TOKENS);
        double total =
                uses.keySet().stream().mapToDouble(c -> faded(c, nowMillis)).sum();
        return uses.size() > 1 && faded(customer, nowMillis) > TOLERANCE * total / uses.size();
    }

    private double faded(String customer, long nowMillis) {
        Use use = uses.get(customer);
        return use == null ? 0 : use.tokens() * Math.pow(0.5, (nowMillis - use.atMillis()) / HALF_LIFE_MILLIS);
    }
}
