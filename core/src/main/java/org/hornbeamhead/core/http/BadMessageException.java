package org.hornbeamhead.core.http;

/** Bytes that are no message of the protocol, or one that two readers could understand differently. */
public final class BadMessageException extends Exception {
    private static final long serialVersionUID = 1;

    private final int status;

    /**
     * Describes the fault.
     *
     * @param status the status that answers a request of this kind
     * @param message what is wrong
     */
    public BadMessageException(int status, String message) {
        super(message);
        this.status = status;
    }

    /**
     * Returns the status that answers a request of this kind.
     *
     * @return the status
     */
    public int status() {
        return status;
    }
}
