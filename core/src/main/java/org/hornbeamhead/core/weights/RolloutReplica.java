package org.hornbeamhead.core.weights;

/**
 * A replica as seen by the weights rollout.
 *
 * @param id identifies one run of the replica
 * @param version the version that it serves
 * @param usableMillis how long requests may still start on that version, in milliseconds; 0 or less when it has expired
 * @param memoryUse the share of its memory that requests take, 0 to 1, or above when requests wait for memory
 */
public record RolloutReplica(String id, long version, long usableMillis, double memoryUse) {}
