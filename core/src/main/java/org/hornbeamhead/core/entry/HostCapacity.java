package org.hornbeamhead.core.entry;

/**
 * What a router's host gives it.
 *
 * @param cores processor time a second, in seconds of one core at full speed
 * @param linkMegabits the speed of the host's own link, in megabits a second
 */
public record HostCapacity(double cores, double linkMegabits) {
    /**
     * Requests a second that one core forwards at a load at which answers are not late: a request takes 2.4 ms of
     * processor time, its stream included, and bursts are three times the mean.
     */
    private static final double REQUESTS_PER_CORE = 130;
    /** A long request and its answer take 20 KB of the link, and nothing should wait behind bursts. */
    private static final double REQUESTS_PER_MEGABIT = 2;

    /** Checks the figures. */
    public HostCapacity {
        if (!(cores > 0) || !(linkMegabits > 0)) {
            throw new IllegalArgumentException("a host without processor or link");
        }
    }

    /**
     * Tells what the scarcer of the two bears.
     *
     * @return requests a second
     */
    public double requestsPerSecond() {
        return Math.min(cores * REQUESTS_PER_CORE, linkMegabits * REQUESTS_PER_MEGABIT);
    }
}
