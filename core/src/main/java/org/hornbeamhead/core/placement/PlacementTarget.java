package org.hornbeamhead.core.placement;

/**
 * The properties of a class of work that placement depends on.
 *
 * @param firstTokenMillis the target for the time to the first token, in milliseconds
 * @param batch whether requests may wait, in which case saving computation takes precedence over latency
 */
public record PlacementTarget(double firstTokenMillis, boolean batch) {}
