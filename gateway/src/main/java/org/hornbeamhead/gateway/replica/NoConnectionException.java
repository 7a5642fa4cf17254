package org.hornbeamhead.gateway.replica;

/** Thrown when all connections to a replica are in use and no further one may be opened. */
public final class NoConnectionException extends Exception {
    private static final long serialVersionUID = 1;

    NoConnectionException(String message) {
        super(message);
    }
}
