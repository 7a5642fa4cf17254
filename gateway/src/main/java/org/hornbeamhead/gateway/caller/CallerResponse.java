package org.hornbeamhead.gateway.caller;

import io.activej.promise.Promise;
import org.hornbeamhead.core.http.Headers;

/** The response to one request of a caller. */
public interface CallerResponse {
    /**
     * Sends a complete response.
     *
     * @param status the status code
     * @param headers the headers, without content length and connection headers
     * @param body the body
     */
    void respond(int status, Headers headers, byte[] body);

    /**
     * Begins a response of unknown length.
     *
     * @param status the status code
     * @param headers the headers, without content length and connection headers
     */
    void begin(int status, Headers headers);

    /**
     * Writes the next bytes of a response that was begun.
     *
     * @param bytes the bytes
     * @return completes when the connection has accepted the bytes
     */
    Promise<Void> write(byte[] bytes);

    /** Completes a response that was begun. */
    void end();

    /**
     * Closes the connection without completing the response, so that the caller cannot mistake it for a complete one.
     */
    void abort();

    /**
     * Registers an action for the case that the caller disconnects before the response is complete.
     *
     * @param action the action, called at most once
     */
    void onDisconnect(Runnable action);

    /**
     * Registers what ends the response if the process ends before it is complete. Without it the caller is told that
     * the request may have run.
     *
     * @param action the action, called at most once
     */
    void onProcessEnd(Runnable action);
}
