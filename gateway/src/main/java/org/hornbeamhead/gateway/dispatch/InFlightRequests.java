package org.hornbeamhead.gateway.dispatch;

import java.util.LinkedHashSet;
import java.util.Set;

/**
 * The requests in flight on this router.
 *
 * <p>When a request is quarantined because it crashes replicas, copies of it may already be queued at other replicas.
 * Each copy would crash one more replica as soon as it starts, even though no router sends the request any more. Copies
 * for which no response bytes have arrived are therefore cancelled.
 *
 * <p>Not thread-safe.
 */
final class InFlightRequests {
    private final Set<Exchange> exchanges = new LinkedHashSet<>();
    private final ResponseBuffers buffers = new ResponseBuffers();

    void add(Exchange exchange) {
        exchanges.add(exchange);
    }

    void remove(Exchange exchange) {
        exchanges.remove(exchange);
    }

    /** Returns the memory for responses that are buffered until they are complete. */
    ResponseBuffers buffers() {
        return buffers;
    }

    /** Cancels all attempts of quarantined requests that a replica has not started to process. */
    void cancelQuarantined() {
        exchanges.stream()
                .filter(Exchange::isAwaitingStart)
                .filter(e -> e.content().mustBeWithdrawn())
                .toList()
                .forEach(Exchange::cancelQuarantined);
    }
}
