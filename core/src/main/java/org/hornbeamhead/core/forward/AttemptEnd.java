package org.hornbeamhead.core.forward;

/** How one try at a replica ended, as far as the router can know. */
public enum AttemptEnd {
    /** No byte of the request left: the connection could not be opened. */
    NOT_SENT(false),
    /** The replica said that it did not run the request, since it is full or leaving. */
    REFUSED(false),
    /** The replica at the address is another one, or has other weights, and did not run the request. */
    MISDIRECTED(false),
    /** The connection broke, or what came back is no answer to the request. */
    BROKEN(true),
    /** Nothing came for longer than an answer may take. */
    SILENT(true),
    /** The replica answered that it failed. */
    FAILED(true);

    private final boolean mayHaveRun;

    AttemptEnd(boolean mayHaveRun) {
        this.mayHaveRun = mayHaveRun;
    }

    /**
     * Tells whether the replica may have begun to work on the request.
     *
     * @return false only when it surely has not and never will
     */
    public boolean mayHaveRun() {
        return mayHaveRun;
    }
}
