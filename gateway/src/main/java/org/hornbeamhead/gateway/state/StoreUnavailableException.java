package org.hornbeamhead.gateway.state;

/** The store did not do what it was asked. */
public final class StoreUnavailableException extends Exception {
    private static final long serialVersionUID = 1;

    /**
     * Makes the exception.
     *
     * @param message what came instead
     */
    public StoreUnavailableException(String message) {
        super(message);
    }
}
