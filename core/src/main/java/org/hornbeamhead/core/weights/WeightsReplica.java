package org.hornbeamhead.core.weights;

/**
 * A replica as the duty of bringing it to the named weights sees it.
 *
 * @param id names one run of the replica
 * @param version the version that it serves
 * @param running the requests there
 */
public record WeightsReplica(String id, long version, double running) {}
