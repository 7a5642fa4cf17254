package org.hornbeamhead.core.http;

/** Thrown for bytes that are not a valid HTTP message, or that two parsers could interpret differently. */
public final class BadMessageException extends Exception {
    private static final long serialVersionUID = 1;

    private final int status;

    /**
     * Creates an exception with a response status.
     *
     * @param status the status to answer such a request with
     * @param message the description of the fault
     */
    public BadMessageException(int status, String message) {
        super(message);
        this.status = status;
    }

    /**
     * Returns the status to answer such a request with.
     *
     * @return the status
     */
    public int status() {
        return status;
    }
}
