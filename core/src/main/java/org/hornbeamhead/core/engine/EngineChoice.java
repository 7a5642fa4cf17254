package org.hornbeamhead.core.engine;

/**
 * The engine that a request goes to.
 *
 * @param engine the engine
 * @param home whether it is the first in the order in which the prompt's engines are tried
 * @param predictedMillis the predicted time to the first event, in milliseconds
 */
public record EngineChoice(EngineCandidate engine, boolean home, double predictedMillis) {}
