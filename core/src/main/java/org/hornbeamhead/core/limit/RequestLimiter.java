package org.hornbeamhead.core.limit;

/**
 * What one router knows of the request limit of one run of a replica.
 *
 * <p>Not thread-safe.
 */
public final class RequestLimiter {
    private StatedLimit stated = StatedLimit.NONE;

    /**
     * Records what an answer stated.
     *
     * @param statement the statement
     * @return whether another limit holds from now on
     */
    public boolean observe(StatedLimit statement) {
        StatedLimit before = stated;
        stated = before.latest(statement);
        return stated.requestsPerSecond() != before.requestsPerSecond();
    }

    /** Returns the statement that holds. */
    public StatedLimit stated() {
        return stated;
    }

    /** Returns whether the replica has a limit. */
    public boolean isLimited() {
        return stated.isLimit();
    }
}
