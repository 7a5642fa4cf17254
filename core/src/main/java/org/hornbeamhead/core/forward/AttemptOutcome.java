package org.hornbeamhead.core.forward;

/** The outcome of one attempt at a replica, as far as the router can tell. */
public enum AttemptOutcome {
    /** The request was withdrawn, or no connection was free, before any byte of it was sent. */
    NOT_SENT(false),
    /** The connection could not be opened; no byte of the request was sent. */
    NOT_CONNECTED(false),
    /** The replica reported that it did not run the request because it is full or shutting down. */
    REFUSED(false),
    /** A different replica, or one with different weights, is at the address and did not run the request. */
    MISDIRECTED(false),
    /** The connection broke, or what was received is not a response to the request. */
    BROKEN(true),
    /** Nothing was received for longer than a response may take. */
    SILENT(true),
    /** The replica responded with a failure. */
    FAILED(true);

    private final boolean mayHaveExecuted;

    AttemptOutcome(boolean mayHaveRun) {
        this.mayHaveExecuted = mayHaveRun;
    }

    /**
     * Returns whether the attempt put load on a replica.
     *
     * @return false if no byte of the request was sent
     */
    public boolean wasSent() {
        return this != NOT_SENT && this != NOT_CONNECTED;
    }

    /**
     * Returns whether the replica may have started to execute the request.
     *
     * @return false only if it certainly has not and never will
     */
    public boolean mayHaveExecuted() {
        return mayHaveExecuted;
    }
}
