package org.hornbeamhead.core.quota;

import java.util.OptionalLong;

/**
 * A customer's quota over all routers: a token bucket.
 *
 * @param unit what the quota counts
 * @param ratePerSecond the rate at which the bucket fills, in units a second
 * @param burst the capacity of the bucket, in units
 * @param uncountedTokens what a request counts that states no number of tokens, in units
 */
public record QuotaLimit(QuotaUnit unit, double ratePerSecond, double burst, long uncountedTokens) {
    /** Checks that the limit is positive; a customer without a limit has no quota at all. */
    public QuotaLimit {
        if (!(ratePerSecond > 0) || !(burst >= 0) || uncountedTokens < 0) {
            throw new IllegalArgumentException("invalid quota: " + ratePerSecond + " a second, burst " + burst);
        }
    }

    /**
     * Returns what a request counts.
     *
     * @param tokens the number of tokens that the request states, empty if it states none
     * @return the cost in units
     */
    public long cost(OptionalLong tokens) {
        return unit == QuotaUnit.REQUESTS ? 1 : tokens.orElse(uncountedTokens);
    }
}
