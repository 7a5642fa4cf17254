package org.hornbeamhead.gateway.state;

/** The store no longer knows the changes that were asked for: everything must be read again. */
public final class HistoryLostException extends Exception {
    private static final long serialVersionUID = 1;

    /** Makes the exception. */
    public HistoryLostException() {
        super("the store's history does not reach back so far");
    }
}
