package org.hornbeamhead.core.retry;

/**
 * Allows second tries as a share of successes.
 *
 * <p>Failure: a replica dies under full load and every caller's try is doubled, which overloads the rest. Symptom: load
 * grows as capacity falls. With tokens earned only by successes, tries beyond the first stay below the share whatever
 * fails.
 */
public final class RetryBudget {
    private static final double EARNED_PER_SUCCESS = 0.1;
    private static final double RESERVE = 10;

    private double tokens = RESERVE;

    /** Notes a success, which earns a part of a second try. */
    public void succeeded() {
        tokens = Math.min(RESERVE, tokens + EARNED_PER_SUCCESS);
    }

    /**
     * Takes one second try out of the budget.
     *
     * @return true when there was one
     */
    public boolean tryTake() {
        if (tokens < 1) {
            return false;
        }
        tokens -= 1;
        return true;
    }
}
