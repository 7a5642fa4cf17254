package org.hornbeamhead.core.engine;

import java.util.Optional;

/**
 * What the choice of an engine for a prompt would regard at one engine.
 *
 * @param choice the predictions and the cost if the engine were chosen
 * @param exclusion why it cannot be chosen; empty if its cost decides
 */
public record EngineEvaluation(EngineChoice choice, Optional<PlacementExclusion> exclusion) {}
