package org.hornbeamhead.core.load;

import java.util.OptionalInt;

/**
 * What one response of a replica stated of the load there.
 *
 * @param running the requests that it runs
 * @param waiting the requests that wait for a slot
 * @param slots the requests that it runs at once
 * @param pacePercent how long work takes there, in percent of the usual time; empty if the replica does not state it
 */
public record LoadStatement(int running, int waiting, int slots, OptionalInt pacePercent) {
    /** A hundred times the usual time; a higher figure is a fault of the replica rather than a busy machine. */
    public static final int MAX_PACE_PERCENT = 10_000;

    private static final double PERCENT = 100;

    /** Checks the ranges of the figures. */
    public LoadStatement {
        if (running < 0 || waiting < 0 || slots < 1) {
            throw new IllegalArgumentException(
                    "invalid load: running=" + running + " waiting=" + waiting + " slots=" + slots);
        }
        if (pacePercent.isPresent() && (pacePercent.getAsInt() < 1 || pacePercent.getAsInt() > MAX_PACE_PERCENT)) {
            throw new IllegalArgumentException("invalid pace: " + pacePercent.getAsInt() + " percent");
        }
    }

    /**
     * Returns whether the replica states its pace, so that routers regard its statements.
     *
     * @return true if the statement has four figures
     */
    public boolean hasPace() {
        return pacePercent.isPresent();
    }

    /**
     * Returns the factor by which work takes longer than usual.
     *
     * @return the factor, 1 if it is not stated
     */
    public double pace() {
        return pacePercent.isPresent() ? pacePercent.getAsInt() / PERCENT : 1;
    }

    /**
     * Returns the number of requests at the replica.
     *
     * @return those that run and those that wait
     */
    public int requests() {
        return (int) Math.min(Integer.MAX_VALUE, (long) running + waiting);
    }
}
