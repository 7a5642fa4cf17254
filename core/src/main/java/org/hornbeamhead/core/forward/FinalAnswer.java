package org.hornbeamhead.core.forward;

/** What the caller is told when no replica's answer is passed on. */
public enum FinalAnswer {
    /** No replica ran the request and none will; it may come back. */
    NOT_RUN(503),
    /** A replica may have run the request; its answer is lost. */
    OUTCOME_UNKNOWN(502),
    /** A replica may have run the request; it did not answer in time. */
    TIMED_OUT(504),
    /** The replica's own failure is passed on. */
    REPLICA_FAILURE(0),
    /** The answer has begun and cannot be completed; the connection is closed without its end. */
    BROKEN_OFF(0);

    private final int status;

    FinalAnswer(int status) {
        this.status = status;
    }

    /**
     * Returns the status.
     *
     * @return the status of an answer of the router's own; 0 where it writes none
     */
    public int status() {
        return status;
    }
}
