package org.hornbeamhead.core.entry;

/**
 * The resources that a host provides to its router.
 *
 * @param cores processor time per second, in seconds of one core at full speed
 * @param linkMegabits the speed of the host's own link, in megabits a second
 */
public record HostCapacity(double cores, double linkMegabits) {
    /**
     * Requests a second that one core forwards without late answers: a request takes 2.4 ms of processor time, its
     * stream included, and bursts are three times the mean.
     */
    private static final double REQUESTS_PER_CORE = 130;
    /** A long request and its answer take 20 KB of the link, and no request should wait for a burst. */
    private static final double REQUESTS_PER_MEGABIT = 2;

    /** Validates that both resources are positive. */
    public HostCapacity {
        if (!(cores > 0) || !(linkMegabits > 0)) {
            throw new IllegalArgumentException("the cores and the link speed of a host must be positive");
        }
    }

    /**
     * Returns the request rate that the scarcer of the two resources can take.
     *
     * @return requests a second
     */
    public double requestsPerSecond() {
        return Math.min(cores * REQUESTS_PER_CORE, linkMegabits * REQUESTS_PER_MEGABIT);
    }
}
