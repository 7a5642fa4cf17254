package org.hornbeamhead.core.placement;

/** The reason for which a replica was chosen. */
public enum PlacementReason {
    /** The replica has the lowest cost among the preferred replicas of the prefix. */
    LEAST_RECOMPUTED,
    /** The preferred replicas of the prefix are busy; this one has the lowest cost among all replicas of the prefix. */
    SPILLED,
    /** The request was placed by a baseline policy. */
    BASELINE
}
