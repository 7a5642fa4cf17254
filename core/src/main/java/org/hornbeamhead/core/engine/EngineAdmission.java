package org.hornbeamhead.core.engine;

import java.util.OptionalLong;

/**
 * Decides on arrival whether a request goes to its engine now, or its caller is told to come back.
 *
 * <p>Answers the load of more prompts than the engines can read, as after a change of weights with two engines lost.
 * When every request is let in, all of them wait for seconds and all answers are late. A request that would be late
 * because of those that wait before it is given back at once; those that are let in are on time. A request that would
 * be late by itself, such as a very long prompt, is let in.
 */
public final class EngineAdmission {
    /**
     * The part of the target that the wait for other requests may take. With less, engines idle between the requests
     * that are let in; with more, streams under way pause for longer than is on time.
     */
    private static final double WAIT_PART = 0.4;
    /** Prediction errs by about this; a request this much past its target is on time often enough. */
    private static final double LATE_FACTOR = 1.0;
    /** The shortest time to come back after: a queue grows or shrinks by this in a few requests. */
    private static final long MIN_RETRY_MILLIS = 300;

    private EngineAdmission() {}

    /**
     * Decides.
     *
     * @param choice the best engine
     * @param targetMillis the time within which the first event is on time, in milliseconds
     * @param timeLeftMillis how long the caller waits, in milliseconds
     * @return when to come back, in milliseconds; empty to send the request
     */
    public static OptionalLong refuse(EngineChoice choice, long targetMillis, long timeLeftMillis) {
        boolean hopeless = choice.predictedMillis() > timeLeftMillis;
        boolean late = choice.predictedMillis() > targetMillis * LATE_FACTOR;
        boolean behindOthers = choice.waitMillis() > targetMillis * WAIT_PART;
        if (hopeless || (late && behindOthers)) {
            return OptionalLong.of(Math.max(MIN_RETRY_MILLIS, Math.round(choice.waitMillis())));
        }
        return OptionalLong.empty();
    }
}
