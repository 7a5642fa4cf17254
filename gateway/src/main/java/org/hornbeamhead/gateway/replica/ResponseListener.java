package org.hornbeamhead.gateway.replica;

import io.activej.promise.Promise;
import org.hornbeamhead.core.http.ResponseHead;

/** Receives the response of a replica to one request. */
public interface ResponseListener {
    /**
     * Called when the response head has arrived.
     *
     * @param head the head
     */
    void onHead(ResponseHead head);

    /**
     * Called when a part of the response body has arrived.
     *
     * @param bytes the bytes
     * @return completes when more may be read
     */
    Promise<Void> onBody(byte[] bytes);

    /** Called when the response is complete. */
    void onComplete();

    /**
     * Called when an orderly close of the connection ended a response that states neither a length nor chunks. It is
     * complete if the replica still runs; a process that crashes may close its connections in the same way.
     */
    default void onEndOfConnection() {
        onComplete();
    }

    /**
     * Called when the connection was lost, or its bytes were no valid response, before the response was complete.
     *
     * @param reason the cause, for the log and the answer to the caller
     */
    void onFailure(String reason);
}
