package org.hornbeamhead.core.engine;

import java.util.Optional;

/**
 * The engine that a request goes to.
 *
 * @param engine the engine
 * @param beginning a hash of the shared beginning with its salt
 * @param waitMillis the predicted wait behind other requests, in milliseconds
 * @param predictedMillis the predicted time to the first event, in milliseconds
 * @param readMillis the predicted time that the engine reads for it, in milliseconds
 * @param cost what the choice was made by: the predicted time and what the choice costs besides, in milliseconds
 * @param fetchFrom the engine to fetch the beginning from; empty for the store beside the engines
 * @param storeMillis how long the store's link is busy with it, in milliseconds; 0 when nothing is fetched there
 * @param askStore whether the engine asks the store for what it should hold and does not
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
        Optional<String> fetchFrom,
        double storeMillis,
        boolean askStore,
        boolean save,
        String why) {}
