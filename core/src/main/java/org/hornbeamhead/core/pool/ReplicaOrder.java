package org.hornbeamhead.core.pool;

/**
 * The state that a replica is ordered into.
 *
 * @param address the replica's address
 * @param weights the version of the weights that it should serve
 * @param draining whether it should accept no new work
 * @param load whether this order makes it load weights, which only a few replicas may do at once
 */
public record ReplicaOrder(String address, String weights, boolean draining, boolean load) {}
