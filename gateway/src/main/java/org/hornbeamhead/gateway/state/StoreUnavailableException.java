package org.hornbeamhead.gateway.state;

/** Thrown when the store or another router did not answer a request as expected. */
public final class StoreUnavailableException extends Exception {
    private static final long serialVersionUID = 1;

    /**
     * Creates the exception.
     *
     * @param message what happened instead
     */
    public StoreUnavailableException(String message) {
        super(message);
    }
}
