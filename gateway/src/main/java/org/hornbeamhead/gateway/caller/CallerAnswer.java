package org.hornbeamhead.gateway.caller;

import io.activej.promise.Promise;
import org.hornbeamhead.core.http.Headers;

/** Where the answer to one request is written. */
public interface CallerAnswer {
    /**
     * Writes a whole answer.
     *
     * @param status the status
     * @param headers the header lines, without length and connection
     * @param body the body
     */
    void respond(int status, Headers headers, byte[] body);

    /**
     * Begins an answer whose length is not known.
     *
     * @param status the status
     * @param headers the header lines, without length and connection
     */
    void begin(int status, Headers headers);

    /**
     * Writes the next bytes of an answer that was begun.
     *
     * @param bytes the bytes
     * @return completes when the connection has taken them
     */
    Promise<Void> write(byte[] bytes);

    /** Ends an answer that was begun, as complete. */
    void end();

    /** Closes the connection without the answer's end, so that it cannot look complete. */
    void abort();

    /**
     * Registers what is done when the caller leaves before the answer's end.
     *
     * @param action the action, called once at most
     */
    void onGone(Runnable action);
}
