package org.hornbeamhead.core.placement;

/**
 * What placement needs to know of a class.
 *
 * @param firstTokenMillis the target for the first token, in milliseconds
 * @param batch whether the class may wait, so that saved computation goes before speed
 */
public record PlacementTarget(double firstTokenMillis, boolean batch) {}
