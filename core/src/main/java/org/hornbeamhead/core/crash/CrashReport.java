package org.hornbeamhead.core.crash;

import java.util.List;

/**
 * The replicas that crashed while running requests with one feature.
 *
 * @param feature the feature
 * @param crashes the crashes, one per run of a replica
 */
public record CrashReport(CrashFeature feature, List<Crash> crashes) {
    /**
     * A crash of a replica.
     *
     * @param replica a hash that identifies the run of the replica
     * @param ageMillis the time since the crash, in milliseconds
     * @param runMillis how long such a request had been at the replica, in milliseconds
     * @param exonerated whether a replica has since survived such a request, so that the feature was not the cause
     */
    public record Crash(int replica, long ageMillis, int runMillis, boolean exonerated) {
        Crash aged(long millis) {
            return new Crash(replica, ageMillis + millis, runMillis, exonerated);
        }
    }

    /** Creates a report with a copy of the crashes. */
    public CrashReport {
        crashes = List.copyOf(crashes);
    }

    /**
     * Returns the report with all crash ages increased.
     *
     * @param millis the time to add, in milliseconds
     * @return the report with the new ages
     */
    public CrashReport aged(long millis) {
        return new CrashReport(
                feature, crashes.stream().map(c -> c.aged(millis)).toList());
    }
}
