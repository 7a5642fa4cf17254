package org.hornbeamhead.core.crash;

import java.util.List;

/**
 * At which replicas one request was under way when they ended.
 *
 * @param request the request
 * @param crashes the ends, one for each run of a replica
 */
public record CrashReport(RequestFingerprint request, List<Crash> crashes) {
    /**
     * One end of a replica.
     *
     * @param replica a hash that names the run of the replica
     * @param ageMillis how long ago it ended, in milliseconds
     * @param ranMillis how long the request had been there by then, in milliseconds
     * @param cleared whether the request has since run to its end elsewhere, so that it was not the cause
     */
    public record Crash(int replica, long ageMillis, int ranMillis, boolean cleared) {
        Crash older(long millis) {
            return new Crash(replica, ageMillis + millis, ranMillis, cleared);
        }
    }

    /** Copies the crashes, so that the report cannot change. */
    public CrashReport {
        crashes = List.copyOf(crashes);
    }

    /**
     * Lets time pass.
     *
     * @param millis how long, in milliseconds
     * @return the report as it reads then
     */
    public CrashReport older(long millis) {
        return new CrashReport(
                request, crashes.stream().map(c -> c.older(millis)).toList());
    }
}
