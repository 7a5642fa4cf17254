package org.hornbeamhead.core.crash;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;

/**
 * One end of a replica under a request, as one router knows it.
 *
 * @param at when it was noticed, in milliseconds of the router's monotonic clock
 * @param ranMillis how long the request had been there by then, in milliseconds
 * @param cleared whether the request has since run to its end elsewhere, so that it was not the cause
 */
record SeenCrash(long at, long ranMillis, boolean cleared) {
    /** Ends of replicas with a common cause are noticed within this time of one another. */
    private static final long ONE_MOMENT_MILLIS = 100;
    /** A kept connection to a process that is gone breaks sooner than this, so that nothing ran there. */
    private static final long LEAST_RUN_MILLIS = 20;
    /** How much later an end may seem to a router that heard of it than to the one that saw it. */
    private static final long HEARD_LATER_MILLIS = 10;

    /** Reads a report that came at a time of the monotonic clock. */
    static SeenCrash of(CrashReport.Crash crash, long now) {
        return new SeenCrash(now - crash.ageMillis(), crash.ranMillis(), crash.cleared());
    }

    CrashReport.Crash report(int replica, long now) {
        long ran = Math.min(Integer.MAX_VALUE, ranMillis);
        return new CrashReport.Crash(replica, Math.max(0, now - at), (int) ran, cleared);
    }

    SeenCrash clear() {
        return new SeenCrash(at, ranMillis, true);
    }

    /**
     * Counts ends that cannot have one cause. Failure: a rack loses its power, and with it three replicas that were all
     * serving the same popular page. Symptom: the page is held back. A request that ends replicas does so each time it
     * comes.
     */
    static int moments(Collection<SeenCrash> crashes) {
        List<SeenCrash> inOrder = crashes.stream()
                .filter(c -> !c.cleared())
                .sorted(Comparator.comparingLong(SeenCrash::at))
                .toList();
        int count = 0;
        long moment = Long.MIN_VALUE / 2;
        for (SeenCrash crash : inOrder) {
            if (crash.isApartFrom(moment)) {
                moment = crash.at();
                count++;
            }
        }
        return count;
    }

    /** Whether what ended others until a moment cannot have ended this one too. */
    private boolean isApartFrom(long moment) {
        boolean sentLater = at - ranMillis >= moment - HEARD_LATER_MILLIS && ranMillis >= LEAST_RUN_MILLIS;
        return sentLater || at - moment >= ONE_MOMENT_MILLIS;
    }
}
