package org.hornbeamhead.core.resume;

import org.hornbeamhead.core.hash.FieldHash;

/**
 * Identifies a stream by the request that began it. The service and the customer are part of it, so that naming the
 * request of another customer or service finds nothing.
 *
 * @param value a hash
 */
public record StreamKey(long value) {
    /**
     * Returns the key of a stream.
     *
     * @param service the service that runs it
     * @param customer the customer, empty for anonymous callers
     * @param request the id of the request that brought its first event
     * @return the key
     */
    public static StreamKey of(String service, String customer, String request) {
        return new StreamKey(FieldHash.of(service, customer, request));
    }
}
