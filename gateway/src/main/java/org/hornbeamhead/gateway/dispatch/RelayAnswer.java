package org.hornbeamhead.gateway.dispatch;

import java.util.Set;
import org.hornbeamhead.core.forward.AttemptOutcome;
import org.hornbeamhead.core.http.Headers;
import org.hornbeamhead.core.http.ResponseHead;
import org.hornbeamhead.gateway.path.RelayHeaders;

/**
 * The answer of another router to a request that was handed over.
 *
 * @param head the head as the other router sent it
 * @param callerHeaders the headers for the caller
 * @param streaming whether the body is relayed event by event
 * @param body the body for the caller, unless it is relayed
 */
record RelayAnswer(ResponseHead head, Headers callerHeaders, boolean streaming, BufferedResponse body) {
    /** The lowest status that reports a failure of a server (5xx). */
    private static final int MIN_SERVER_ERROR = 500;
    /** The status with which a router says that a request has not run. */
    private static final int SERVICE_UNAVAILABLE = 503;
    /** The statuses that promise callers that a request has not run. */
    private static final Set<Integer> NOT_RUN_STATUSES = Set.of(408, 421, 429, SERVICE_UNAVAILABLE);

    /** Creates the answer with the given head, whose body follows. */
    RelayAnswer(ResponseHead head, Headers callerHeaders, boolean streaming, ResponseBuffers buffers) {
        this(head, callerHeaders, streaming, new BufferedResponse(head.status(), callerHeaders, buffers));
    }

    /** Who gave an answer, and what it says of the request. */
    enum Kind {
        /** A replica's answer that is no failure. */
        DELIVERABLE(AttemptOutcome.FAILED),
        /** A replica's failure. */
        REPLICA_FAILED(AttemptOutcome.FAILED),
        /** The other router has lost the request: a replica may have run it. */
        LOST(AttemptOutcome.BROKEN),
        /** The other router does not take the request, which no replica has run there. */
        REJECTED(AttemptOutcome.REFUSED),
        /** As rejected, and a third router may take it. */
        DECLINED(AttemptOutcome.NOT_SENT);

        private final AttemptOutcome outcome;

        Kind(AttemptOutcome outcome) {
            this.outcome = outcome;
        }

        /** Returns what the answer means for the request if it is not passed on. */
        AttemptOutcome outcome() {
            return outcome;
        }
    }

    /** Returns whether the answer promises that no replica has run the request. */
    boolean promisesNotRun() {
        return kind() == Kind.REJECTED && NOT_RUN_STATUSES.contains(head.status());
    }

    Kind kind() {
        boolean failed = head.status() >= MIN_SERVER_ERROR;
        if (RelayHeaders.isDeclined(head.headers())) {
            return Kind.DECLINED;
        }
        if (RelayHeaders.replica(head.headers()).isPresent()) {
            return failed ? Kind.REPLICA_FAILED : Kind.DELIVERABLE;
        }
        return failed && head.status() != SERVICE_UNAVAILABLE ? Kind.LOST : Kind.REJECTED;
    }
}
