package org.hornbeamhead.core.placement;

/** Why a replica was chosen. */
public enum PlacementReason {
    /** It meets the target and recomputes least. */
    LEAST_RECOMPUTED,
    /** None of the prefix's own replicas meets the target; this one is the fastest of a wider set. */
    SPILLED,
    /** The request was placed by a baseline policy. */
    BASELINE
}
