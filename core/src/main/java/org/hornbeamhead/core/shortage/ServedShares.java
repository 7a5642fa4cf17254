package org.hornbeamhead.core.shortage;

/**
 * How often deferrable requests are sent, compared with all requests of the service. Owned by one thread.
 *
 * <p>Urgent requests may need all engines for longer than a burst. Deferrable ones are then still sent at least a
 * quarter as often as all requests.
 */
final class ServedShares {
    /** The time over which the shares are compared, in milliseconds. */
    private static final double MEMORY_MILLIS = 5_000;
    /** Required is a quarter; the margin covers the time until the shares show the effect of what was sent. */
    private static final double LEAST_SHARE = 0.35;
    /** With fewer requests the shares say nothing. */
    private static final double MIN_REQUESTS = 4;
    /**
     * A single urgent request counts this much after three times the memory; no reserve is kept for it from then on.
     */
    private static final double FORGOTTEN_REQUESTS = 0.05;

    private final RecentRate arrived = new RecentRate(MEMORY_MILLIS);
    private final RecentRate sent = new RecentRate(MEMORY_MILLIS);
    private final RecentRate deferrableArrived = new RecentRate(MEMORY_MILLIS);
    private final RecentRate deferrableSent = new RecentRate(MEMORY_MILLIS);

    void recordArrival(boolean deferrable, long nowMillis) {
        arrived.add(1, nowMillis);
        deferrableArrived.add(deferrable ? 1 : 0, nowMillis);
    }

    void recordSent(boolean deferrable, long nowMillis) {
        sent.add(1, nowMillis);
        deferrableSent.add(deferrable ? 1 : 0, nowMillis);
    }

    /** Returns the share of urgent requests among all. */
    double urgentShare(long nowMillis) {
        double all = arrived.amount(nowMillis);
        double urgent = all - deferrableArrived.amount(nowMillis);
        return urgent < FORGOTTEN_REQUESTS ? 0 : urgent / all;
    }

    /** Returns whether deferrable requests were sent too rarely, so that one is sent without regard to room. */
    boolean isDeferrableOwed(long nowMillis) {
        double all = arrived.amount(nowMillis);
        double deferrable = deferrableArrived.amount(nowMillis);
        return deferrable >= MIN_REQUESTS
                && deferrableSent.amount(nowMillis) / deferrable < LEAST_SHARE * sent.amount(nowMillis) / all;
    }
}
