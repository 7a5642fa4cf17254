package org.hornbeamhead.core.outcome;

import java.time.Duration;

/**
 * What became of a request, as far as the system can truthfully say. There are three outcomes and no fourth: a caller
 * may act on each of them.
 */
public sealed interface Outcome {
    /**
     * The endpoint's whole answer reached the router.
     *
     * @param status the endpoint's HTTP status
     */
    record Completed(int status) implements Outcome {}

    /**
     * No endpoint was given the attempt that this answers, and none will be: the same id may be sent again. Earlier
     * attempts of the same id keep the outcome they were given.
     *
     * @param reason why, for the caller
     * @param retryAfter when to come back
     */
    record NotRun(Reason reason, Duration retryAfter) implements Outcome {}

    /**
     * The request may have run, wholly or in part. It will not be run again under this id.
     *
     * @param reason why the outcome is not known
     */
    record Unknown(Reason reason) implements Outcome {}
}
