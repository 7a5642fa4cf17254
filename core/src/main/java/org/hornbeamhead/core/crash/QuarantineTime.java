package org.hornbeamhead.core.crash;

/** How long features are quarantined and remembered. */
final class QuarantineTime {
    /** How long a culprit is quarantined after its last crash; doubled with each further crash. */
    private static final long QUARANTINE_MILLIS = 600_000;
    /**
     * How long a prompt part with few crashes is quarantined. Sound requests may share the part, so a wrong verdict
     * must be put to the test soon.
     */
    private static final long SUSPICION_MILLIS = 10_000;
    /** Crashes from which a prompt part is quarantined as long as a content. */
    private static final int CERTAIN_CRASHES = 5;

    private static final int MAX_DOUBLINGS = 5;

    private QuarantineTime() {}

    /**
     * Returns how long a content is quarantined after its last crash.
     *
     * @param crashes the number of crashes, three or more
     * @return the time in milliseconds
     */
    static long contentMillis(int crashes) {
        return doubled(crashes - CrashAttribution.MIN_CRASHES);
    }

    /**
     * Returns how long a prompt part is quarantined after its last crash.
     *
     * @param crashes the number of crashes that it caused, 0 if another part may have caused them
     * @return the time in milliseconds
     */
    static long promptPartMillis(int crashes) {
        return crashes < CERTAIN_CRASHES ? SUSPICION_MILLIS : doubled(crashes - CERTAIN_CRASHES);
    }

    /**
     * Returns how long a feature is remembered after its last crash: twice the longest quarantine that the crashes may
     * lead to, so that one that crashes a replica soon after its quarantine is still known.
     *
     * @param crashes the number of crashes
     * @return the time in milliseconds
     */
    static long retentionMillis(int crashes) {
        return 2 * doubled(crashes - CrashAttribution.MIN_CRASHES);
    }

    private static long doubled(int times) {
        return QUARANTINE_MILLIS << Math.min(MAX_DOUBLINGS, Math.max(0, times));
    }
}
