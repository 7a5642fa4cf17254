package org.hornbeamhead.gateway.dispatch;

import org.hornbeamhead.core.route.RouteLimits;

/**
 * The timeouts for an attempt whose replica sends nothing.
 *
 * <p>A replica or its connection can fail without any sign, and the caller would then wait until its own deadline.
 * Another replica is therefore tried while a response from there would still be useful, unless the request cannot be
 * retried. A stream waits for as long as a sound replica may be silent, since such a pause makes it late at most.
 *
 * @param limits the limits of the route
 * @param streaming whether the response is a stream
 * @param canRetry whether another replica may run the request
 * @param predictedMillis the predicted time to the first event, in milliseconds
 */
record SilenceTimeouts(RouteLimits limits, boolean streaming, boolean canRetry, double predictedMillis) {
    /** No timeout: the attempt lasts as long as the caller waits. */
    static final long UNLIMITED = Long.MAX_VALUE;
    /** Fraction of the target after which a request that may be retried is better off on another replica. */
    private static final double TARGET_FRACTION = 0.7;
    /** Multiple of the target that the first event of a stream may take before another replica is tried. */
    private static final double STREAM_TARGET_MULTIPLE = 1.5;

    /** Multiple of the predicted time that the first event of a stream may take before another replica is tried. */
    private static final double PREDICTION_MULTIPLE = 2.5;
    /**
     * How long after its predicted time a response may be outstanding before the replica is probed; predictions are
     * rarely off by more.
     */
    private static final long PROBE_MARGIN_MILLIS = 250;
    /** A sound replica may be silent for a second and go on. */
    private static final long SOUND_SILENCE_MILLIS = 1_500;
    /** Multiple of the allowed pause after which a replica is considered stopped. */
    private static final double PAUSE_MULTIPLE = 2;

    /**
     * Returns the time after which another replica is tried beside an attempt without any response.
     *
     * @return the time since sending, in milliseconds
     */
    long firstByteMillis() {
        if (!canRetry) {
            return UNLIMITED;
        }
        long target = limits.latencyTargetMillis();
        return streaming
                ? (long) Math.max(
                        SOUND_SILENCE_MILLIS,
                        Math.max(target * STREAM_TARGET_MULTIPLE, predictedMillis * PREDICTION_MULTIPLE))
                : (long) (target * TARGET_FRACTION);
    }

    /**
     * Returns the time after which the replica is probed with a new connection.
     *
     * @return the time since sending, in milliseconds
     */
    long probeDelayMillis() {
        return PROBE_MARGIN_MILLIS + (long) predictedMillis;
    }

    /**
     * Returns the time after which the replica counts as not reached, as long as nothing else is heard of its service.
     *
     * @return the time since sending, in milliseconds
     */
    long pathDelayMillis() {
        return SOUND_SILENCE_MILLIS + (long) predictedMillis;
    }

    /**
     * Returns the time after which another replica is tried beside a stream that has begun.
     *
     * @return the time since the last event, in milliseconds
     */
    long pauseMillis() {
        long pause = limits.gapTargetMillis();
        return canRetry && pause > 0 ? Math.max(SOUND_SILENCE_MILLIS, (long) (pause * PAUSE_MULTIPLE)) : UNLIMITED;
    }
}
