package org.hornbeamhead.core.engine;

import java.util.OptionalLong;

/**
 * Decides on arrival whether a request is sent to its engine or its caller is told to retry later.
 *
 * <p>When there are more prompts than the engines can prefill, as after a change of weights with two engines lost,
 * accepting every request makes all of them wait for seconds and all answers late. A request that would be late because
 * of the requests queued before it is rejected at once, so that those accepted are on time. A request that would be
 * late on its own, such as a very long prompt, is accepted.
 */
public final class EngineAdmission {
    /**
     * Largest share of the target that the wait for other requests may take. With a lower value engines idle between
     * the accepted requests; with a higher one running streams pause for longer than is on time.
     */
    private static final double MAX_WAIT_SHARE = 0.4;
    /**
     * A prediction above this multiple of the target counts as late. Predictions err, and a request predicted at this
     * multiple is on time often enough.
     */
    private static final double LATE_FACTOR = 1.0;
    /** Shortest retry delay: a queue grows or shrinks by this much in a few requests. */
    private static final long MIN_RETRY_MILLIS = 300;

    private EngineAdmission() {}

    /**
     * Decides whether to reject a request.
     *
     * @param choice the best engine
     * @param targetMillis the time within which the first event is on time, in milliseconds
     * @param timeLeftMillis how long the caller waits, in milliseconds
     * @return the delay until a retry, in milliseconds; empty to send the request
     */
    public static OptionalLong retryAfterMillis(EngineChoice choice, long targetMillis, long timeLeftMillis) {
        boolean exceedsTimeLeft = choice.predictedMillis() > timeLeftMillis;
        boolean late = choice.predictedMillis() > targetMillis * LATE_FACTOR;
        boolean waitsTooLong = choice.waitMillis() > targetMillis * MAX_WAIT_SHARE;
        if (exceedsTimeLeft || (late && waitsTooLong)) {
            return OptionalLong.of(Math.max(MIN_RETRY_MILLIS, Math.round(choice.waitMillis())));
        }
        return OptionalLong.empty();
    }
}
