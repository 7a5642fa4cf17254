package org.hornbeamhead.gateway.dispatch;

import java.util.Optional;
import java.util.OptionalLong;

/**
 * Values that the router adds to the caller's request when forwarding it to a replica.
 *
 * @param replica the run of the replica that the request is meant for; any other run refuses it
 * @param customer the customer's name; empty on open routes
 * @param timeLeftMillis how long the response may take, in milliseconds
 * @param priority the request's priority; 0 is the highest
 * @param engine options for an engine; empty for a plain service
 * @param lastEventId the id of the event after which the stream resumes
 */
public record ForwardingOptions(
        String replica,
        Optional<String> customer,
        long timeLeftMillis,
        int priority,
        Optional<EngineOptions> engine,
        OptionalLong lastEventId) {
    /**
     * Options for an engine.
     *
     * @param salt cache key suffix that separates the cached prompt parts of isolated customers and of weights versions
     * @param weightsVersion the weights version that the request is meant for; an engine with another version refuses
     *     it
     * @param fetchFrom address of the engine or store that may hold the shared prompt parts
     * @param saveTo address of the store to which the prompt parts are saved once they are processed
     */
    public record EngineOptions(
            String salt, long weightsVersion, Optional<String> fetchFrom, Optional<String> saveTo) {}
}
