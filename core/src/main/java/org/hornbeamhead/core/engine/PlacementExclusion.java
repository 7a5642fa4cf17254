package org.hornbeamhead.core.engine;

/** Why a usable engine is not chosen for a prompt, whatever its cost. */
public enum PlacementExclusion {
    /** The engine is about to change its weights, and others are not. */
    WEIGHT_CHANGE_PENDING,
    /** The engine is not among those that are evaluated for prompts with this prefix or answers of this length. */
    NOT_CONSIDERED,
    /** The request would not start before the engine's weights expire. */
    WEIGHTS_EXPIRE,
    /** The request would be late at the engine, and not at another one. */
    LATE
}
