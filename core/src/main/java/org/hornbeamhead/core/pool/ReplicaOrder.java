package org.hornbeamhead.core.pool;

/**
 * The state that a replica should be ordered into.
 *
 * @param address the replica
 * @param weights the version of the weights it should serve
 * @param draining whether it should take no new work
 * @param load whether this order makes it load weights, which few may do at once
 */
public record ReplicaOrder(String address, String weights, boolean draining, boolean load) {}
