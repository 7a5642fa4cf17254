package org.hornbeamhead.core.outcome;

import java.time.Duration;

/** The known outcome of a request. There are exactly three outcomes, and a caller can act on each of them. */
public sealed interface Outcome {
    /**
     * The endpoint's complete response reached the router.
     *
     * @param status the endpoint's HTTP status
     */
    record Completed(int status) implements Outcome {}

    /**
     * The attempt was not and will not be sent to any endpoint, so the same id may be sent again. Earlier attempts with
     * the same id keep their own outcome.
     *
     * @param reason the reason reported to the caller
     * @param retryAfter the delay after which the caller may retry
     */
    record NotRun(Reason reason, Duration retryAfter) implements Outcome {}

    /**
     * The request may have run, wholly or in part. It will not be run again under this id.
     *
     * @param reason the reason why the outcome is unknown
     */
    record Unknown(Reason reason) implements Outcome {}
}
