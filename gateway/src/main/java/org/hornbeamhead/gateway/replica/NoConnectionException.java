package org.hornbeamhead.gateway.replica;

/** No connection to a replica may be opened now. */
public final class NoConnectionException extends Exception {
    private static final long serialVersionUID = 1;

    NoConnectionException(String message) {
        super(message);
    }
}
