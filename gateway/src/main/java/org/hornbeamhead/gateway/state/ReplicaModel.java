package org.hornbeamhead.gateway.state;

/**
 * A model at one run of a replica.
 *
 * @param run the run of the replica
 * @param model the model
 */
public record ReplicaModel(String run, String model) {}
