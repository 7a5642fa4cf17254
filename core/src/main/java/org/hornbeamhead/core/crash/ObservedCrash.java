package org.hornbeamhead.core.crash;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;

/**
 * A crash of a replica that was running requests with one feature, as known to this router.
 *
 * @param observedAtMillis the monotonic time at which the crash was detected, in milliseconds
 * @param runMillis how long such a request had been at the replica, in milliseconds
 * @param exonerated whether a replica has since survived such a request, so that the feature was not the cause
 */
record ObservedCrash(long observedAtMillis, long runMillis, boolean exonerated) {
    /** Crashes with a common cause are detected within this time of one another. */
    private static final long COMMON_CAUSE_WINDOW_MILLIS = 100;
    /** A kept-alive connection to a process that is gone breaks sooner than this, so the request never ran there. */
    private static final long MIN_RUN_MILLIS = 20;
    /** How much later a crash can appear to a router that received a report than to the router that observed it. */
    private static final long REPORT_DELAY_MILLIS = 10;

    /** Converts a crash from a report that was received at a monotonic time. */
    static ObservedCrash of(CrashReport.Crash crash, long now) {
        return new ObservedCrash(now - crash.ageMillis(), crash.runMillis(), crash.exonerated());
    }

    CrashReport.Crash toReport(int replica, long now) {
        long runMillisCapped = Math.min(Integer.MAX_VALUE, runMillis);
        return new CrashReport.Crash(replica, Math.max(0, now - observedAtMillis), (int) runMillisCapped, exonerated);
    }

    /**
     * Returns whether a request that began to run at the given time, and that its replica survived, shows that its
     * features did not cause this crash. One that began before says nothing: a feature may crash replicas from some
     * moment on.
     */
    boolean isRefutedBySurvivorSince(long startedAtMillis) {
        return !exonerated && observedAtMillis < startedAtMillis;
    }

    ObservedCrash exonerate() {
        return new ObservedCrash(observedAtMillis, runMillis, true);
    }

    /**
     * Counts the crashes that cannot share a cause. When a rack loses power, three of its replicas that were all
     * serving the same popular page crash together, and the page must not be quarantined for that. A request that
     * crashes replicas does so each time it is sent.
     */
    static int countIndependent(Collection<ObservedCrash> crashes) {
        List<ObservedCrash> sorted = crashes.stream()
                .filter(c -> !c.exonerated())
                .sorted(Comparator.comparingLong(ObservedCrash::observedAtMillis))
                .toList();
        int count = 0;
        long previousMillis = Long.MIN_VALUE / 2;
        for (ObservedCrash crash : sorted) {
            if (crash.isIndependentOf(previousMillis)) {
                previousMillis = crash.observedAtMillis();
                count++;
            }
        }
        return count;
    }

    /** Returns whether this crash cannot have the same cause as one detected at the given time. */
    private boolean isIndependentOf(long previousMillis) {
        boolean sentAfterwards =
                observedAtMillis - runMillis >= previousMillis - REPORT_DELAY_MILLIS && runMillis >= MIN_RUN_MILLIS;
        return sentAfterwards || observedAtMillis - previousMillis >= COMMON_CAUSE_WINDOW_MILLIS;
    }
}
