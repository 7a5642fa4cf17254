package org.hornbeamhead.core.route;

/**
 * Size and time limits for requests from callers.
 *
 * @param maxHeaderBytes the maximum size of a request's header section, in bytes
 * @param maxBodyBytes the maximum size of a request's body, in bytes
 * @param headerTimeoutMillis how long the header section may take to arrive, in milliseconds
 * @param idleTimeoutMillis how long a connection may stay idle, in milliseconds
 */
public record CallerLimits(int maxHeaderBytes, int maxBodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {
    /** What routers add to the headers of a caller, in bytes. */
    private static final int RELAY_HEADER_BYTES = 512;

    private static final long ROUTER_IDLE_TIMEOUT_MILLIS = 15_000;

    /**
     * Returns the limits for requests of the same callers that another router hands over.
     *
     * @return the limits, which leave room for the headers that routers add
     */
    public CallerLimits forRouters() {
        return new CallerLimits(
                maxHeaderBytes + RELAY_HEADER_BYTES, maxBodyBytes, headerTimeoutMillis, ROUTER_IDLE_TIMEOUT_MILLIS);
    }

    /**
     * Returns limits within which a request is that keeps to either of two limits.
     *
     * @param other the other limits
     * @return the larger value of each limit
     */
    public CallerLimits max(CallerLimits other) {
        return new CallerLimits(
                Math.max(maxHeaderBytes, other.maxHeaderBytes),
                Math.max(maxBodyBytes, other.maxBodyBytes),
                Math.max(headerTimeoutMillis, other.headerTimeoutMillis),
                Math.max(idleTimeoutMillis, other.idleTimeoutMillis));
    }
}
