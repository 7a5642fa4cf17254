package org.hornbeamhead.core.forward;

/** The router's final response to a caller when no replica has completed the request. */
public enum FinalResponse {
    /** No replica ran the request and none will; the caller may retry. */
    NOT_RUN(503),
    /** The request is beyond its customer's quota; no replica was asked, and the caller may retry. */
    OVER_QUOTA(429),
    /** A replica may have run the request; its response was lost. */
    OUTCOME_UNKNOWN(502),
    /** A replica may have run the request; it did not respond in time. */
    TIMED_OUT(504),
    /** The replica's failure response is forwarded. */
    REPLICA_FAILURE(0),
    /** The response has started and cannot be completed; the connection is closed before its end. */
    BROKEN_OFF(0);

    private final int status;

    FinalResponse(int status) {
        this.status = status;
    }

    /**
     * Returns the HTTP status.
     *
     * @return the status of the router's own response, 0 if it does not write one
     */
    public int status() {
        return status;
    }
}
