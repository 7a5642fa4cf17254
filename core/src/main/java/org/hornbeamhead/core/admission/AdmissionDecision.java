package org.hornbeamhead.core.admission;

import java.time.Duration;
import org.hornbeamhead.core.outcome.Reason;

/** The admission decision on a request. */
public sealed interface AdmissionDecision {
    /** The request is dispatched now. */
    record Admit() implements AdmissionDecision {}

    /** The request waits for idle capacity; only batch classes wait. */
    record Wait() implements AdmissionDecision {}

    /**
     * The request is refused at once.
     *
     * @param reason the reason for the refusal
     * @param retryAfter the time after which capacity is likely to be available
     */
    record Refuse(Reason reason, Duration retryAfter) implements AdmissionDecision {}
}
