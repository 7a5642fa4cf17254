package org.hornbeamhead.core.admission;

import java.time.Duration;
import org.hornbeamhead.core.outcome.Reason;

/** What is done with a request at the door. */
public sealed interface AdmissionDecision {
    /** It is dispatched now. */
    record Admit() implements AdmissionDecision {}

    /** It waits for slack; only batch classes wait. */
    record Wait() implements AdmissionDecision {}

    /**
     * It is refused, at once.
     *
     * @param reason why
     * @param retryAfter when there is likely to be room
     */
    record Refuse(Reason reason, Duration retryAfter) implements AdmissionDecision {}
}
