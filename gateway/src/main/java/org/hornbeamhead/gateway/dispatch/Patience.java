package org.hornbeamhead.gateway.dispatch;

import org.hornbeamhead.core.route.RouteLimits;

/**
 * How long one try may be silent before the router does something about it.
 *
 * <p>Failure: a replica has stopped, or its connection has, without a sign. Symptom: the caller waits until its own
 * time is over. A try that can be repeated elsewhere is given up while an answer from there can still be useful; one
 * that cannot is never given up for its silence.
 *
 * @param limits the limits of the request's route
 * @param streams whether the answer is a stream
 * @param mayTryAgain whether another replica may run the request
 * @param predictedMillis the predicted time to the first event, in milliseconds
 */
record Patience(RouteLimits limits, boolean streams, boolean mayTryAgain, double predictedMillis) {
    /** For as long as the caller waits. */
    static final long UNLIMITED = Long.MAX_VALUE;
    /** An idempotent request that has taken this part of its target is better off elsewhere. */
    private static final double SILENT_PART_OF_TARGET = 0.7;
    /** A stream's first event may take this many targets, or predicted times, before another replica is tried. */
    private static final double SILENT_TARGETS = 1.5;

    private static final double SILENT_PREDICTIONS = 2.5;
    /**
     * How long past its predicted time an answer may be before the replica is probed; the wait is rarely off by more.
     */
    private static final long DOUBT_MILLIS = 250;
    /** Two pauses that are still on time: a longer one is a replica that has stopped. */
    private static final double SILENT_PAUSES = 2;

    /**
     * Tells when a try without any answer is given up.
     *
     * @return milliseconds from its sending
     */
    long firstByteMillis() {
        if (!mayTryAgain) {
            return UNLIMITED;
        }
        long target = limits.latencyTargetMillis();
        return streams
                ? (long) Math.max(target * SILENT_TARGETS, predictedMillis * SILENT_PREDICTIONS)
                : (long) (target * SILENT_PART_OF_TARGET);
    }

    /**
     * Tells when the replica is asked whether it still takes connections.
     *
     * @return milliseconds from the sending
     */
    long doubtMillis() {
        return DOUBT_MILLIS + (long) predictedMillis;
    }

    /**
     * Tells when a stream that has begun is given up.
     *
     * @return milliseconds from its last event
     */
    long pauseMillis() {
        long pause = limits.gapTargetMillis();
        return mayTryAgain && pause > 0 ? (long) (pause * SILENT_PAUSES) : UNLIMITED;
    }
}
