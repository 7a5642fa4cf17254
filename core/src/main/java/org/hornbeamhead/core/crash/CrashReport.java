package org.hornbeamhead.core.crash;

import java.util.List;

/**
 * The replicas that crashed while running one request.
 *
 * @param request the request
 * @param crashes the crashes, one per run of a replica
 */
public record CrashReport(RequestFingerprint request, List<Crash> crashes) {
    /**
     * A crash of a replica.
     *
     * @param replica a hash that identifies the run of the replica
     * @param ageMillis the time since the crash, in milliseconds
     * @param runMillis how long the request had been at the replica, in milliseconds
     * @param exonerated whether the request has since completed elsewhere and so was not the cause
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
                request, crashes.stream().map(c -> c.aged(millis)).toList());
    }
}
