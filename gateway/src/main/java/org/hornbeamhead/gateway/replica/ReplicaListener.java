package org.hornbeamhead.gateway.replica;

import io.activej.promise.Promise;
import org.hornbeamhead.core.http.ResponseHead;

/** Hears what a replica answers to one request. */
public interface ReplicaListener {
    /**
     * The head came.
     *
     * @param head the head
     */
    void head(ResponseHead head);

    /**
     * A part of the body came.
     *
     * @param bytes the bytes
     * @return completes when more may be read
     */
    Promise<Void> body(byte[] bytes);

    /** The answer is whole. */
    void whole();

    /**
     * The connection ended, or its bytes are no answer, before the answer was whole.
     *
     * @param why for the log
     */
    void broken(String why);
}
