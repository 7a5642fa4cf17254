package org.hornbeamhead.core.retry;

/**
 * A token bucket that limits retries to a share of the successful requests.
 *
 * <p>If a replica dies under full load and every failed attempt is retried, load grows as capacity falls and the other
 * replicas are overloaded. Since only successes earn tokens, retries stay below the share whatever fails.
 */
public final class RetryBudget {
    private static final double TOKENS_PER_SUCCESS = 0.1;
    private static final double MAX_TOKENS = 10;

    private double tokens = MAX_TOKENS;

    /** Records a success, which earns a fraction of a retry. */
    public void recordSuccess() {
        tokens = Math.min(MAX_TOKENS, tokens + TOKENS_PER_SUCCESS);
    }

    /**
     * Takes one retry from the budget.
     *
     * @return false if the budget is exhausted
     */
    public boolean tryAcquire() {
        if (tokens < 1) {
            return false;
        }
        tokens -= 1;
        return true;
    }
}
