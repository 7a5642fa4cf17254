package org.hornbeamhead.gateway.state;

/** Thrown when the store no longer holds the requested changes, so that a snapshot must be read. */
public final class HistoryLostException extends Exception {
    private static final long serialVersionUID = 1;

    /** Creates the exception. */
    public HistoryLostException() {
        super("the store no longer holds the changes after the requested revision");
    }
}
