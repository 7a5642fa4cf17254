package org.hornbeamhead.core.stream;

/** An event that cannot belong to the stream it came in. */
public final class CorruptStreamException extends Exception {
    private static final long serialVersionUID = 1L;

    /**
     * Makes the exception.
     *
     * @param message which event, in which stream
     */
    public CorruptStreamException(String message) {
        super(message);
    }
}
