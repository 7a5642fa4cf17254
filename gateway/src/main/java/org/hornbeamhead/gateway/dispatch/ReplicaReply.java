package org.hornbeamhead.gateway.dispatch;

import java.util.OptionalLong;

/**
 * What the head of a replica's answer says.
 *
 * @param requestId the request that it answers; empty when it does not say
 * @param fromReplica whether it bears the proof that a replica made it
 * @param notRun whether the replica states that it did not run the request
 * @param otherReplica whether another run of a replica answered than the one that was meant
 * @param weights the version of the weights that the answer is made with
 */
public record ReplicaReply(
        String requestId, boolean fromReplica, boolean notRun, boolean otherReplica, OptionalLong weights) {}
