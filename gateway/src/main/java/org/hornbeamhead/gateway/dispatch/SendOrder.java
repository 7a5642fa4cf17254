package org.hornbeamhead.gateway.dispatch;

import java.util.Optional;
import java.util.OptionalLong;

/**
 * What the router itself says to a replica beside the caller's request.
 *
 * @param replica the run of the replica that is meant; any other refuses
 * @param customer the customer's name, empty on open routes
 * @param timeLeftMillis how long the answer may take, in milliseconds
 * @param priority the rank, 0 first
 * @param engine what an engine is told; empty for a plain service
 * @param lastEvent the event after which the stream goes on
 */
public record SendOrder(
        String replica,
        Optional<String> customer,
        long timeLeftMillis,
        int priority,
        Optional<EngineOrder> engine,
        OptionalLong lastEvent) {
    /**
     * What an engine is told.
     *
     * @param salt separates cached parts of other customers and weights
     * @param weights the version of the weights that is meant; an engine with another refuses
     * @param fetchFrom who may hold the prompt's shared parts
     * @param saveTo where the parts are kept once they are read
     */
    public record EngineOrder(String salt, long weights, Optional<String> fetchFrom, Optional<String> saveTo) {}
}
