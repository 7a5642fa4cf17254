package org.hornbeamhead.core.weights;

/**
 * A replica as the duty of bringing it to the named weights sees it.
 *
 * @param id names one run of the replica
 * @param version the version that it serves
 * @param usableMillis how long requests may still begin on that version, in milliseconds; not above zero when it is out
 *     of use
 * @param used the part of its memory that requests take, 0 to 1, or above when they wait for it
 */
public record WeightsReplica(String id, long version, long usableMillis, double used) {}
