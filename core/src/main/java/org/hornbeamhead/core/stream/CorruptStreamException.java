package org.hornbeamhead.core.stream;

/** Thrown for an event that cannot belong to the stream it was received in. */
public final class CorruptStreamException extends Exception {
    private static final long serialVersionUID = 1L;

    /**
     * Creates an exception.
     *
     * @param message the description of the event and the stream
     */
    public CorruptStreamException(String message) {
        super(message);
    }
}
