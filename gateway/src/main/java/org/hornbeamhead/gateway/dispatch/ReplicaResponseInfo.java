package org.hornbeamhead.gateway.dispatch;

import io.vavr.control.Either;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalInt;
import java.util.OptionalLong;
import org.hornbeamhead.core.availability.AvailabilityNotice;
import org.hornbeamhead.core.load.LoadStatement;

/**
 * Routing information from the head of a replica's response.
 *
 * @param requestId the id of the request that the response belongs to; empty when not stated
 * @param fromReplica whether the head carries the stamp that only replicas write
 * @param notExecuted whether the replica states that it did not execute the request
 * @param wrongReplica whether the response came from another replica run than the one addressed
 * @param weightsVersion the version of the weights that produced the response
 * @param requestLimit how many requests a second the replica takes from all routers together, empty if it states no
 *     limit, or why what it states is invalid
 * @param brittle how many rejections a second the replica bears from all routers together without falling over, empty
 *     if it states no number, or why what it states is invalid
 * @param availability whether the replica takes further requests
 * @param load the load that the replica states, empty if it states none, or why what it states is invalid
 */
public record ReplicaResponseInfo(
        String requestId,
        boolean fromReplica,
        boolean notExecuted,
        boolean wrongReplica,
        OptionalLong weightsVersion,
        Either<String, OptionalDouble> requestLimit,
        Either<String, OptionalInt> brittle,
        AvailabilityNotice availability,
        Either<String, Optional<LoadStatement>> load) {
    /**
     * Returns whether the answer is a replica's beyond doubt.
     *
     * @return false if it bears no proof
     */
    public boolean isAttributable() {
        return fromReplica || notExecuted || wrongReplica;
    }
}
