package org.hornbeamhead.core.engine;

/**
 * The engine that a request goes to.
 *
 * @param engine the engine
 * @param beginning a hash of the shared beginning with its salt
 * @param waitMillis the predicted wait behind other requests, in milliseconds
 * @param predictedMillis the predicted time to the first event, in milliseconds
 * @param readMillis the predicted time that the engine reads for it, in milliseconds
 * @param cost what the choice was made by: the predicted time and what the choice costs besides, in milliseconds
 * @param save whether the engine should send the parts to the store beside the engines
 * @param why in words, for the log
 */
public record EngineChoice(
        EngineCandidate engine,
        long beginning,
        double waitMillis,
        double predictedMillis,
        double readMillis,
        double cost,
        boolean save,
        String why) {}
