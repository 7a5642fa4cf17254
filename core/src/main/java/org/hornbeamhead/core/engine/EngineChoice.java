package org.hornbeamhead.core.engine;

import java.util.Optional;

/**
 * The engine that was chosen for a request.
 *
 * @param engine the engine
 * @param prefixHash a hash of the shared prefix with its salt
 * @param waitMillis the predicted wait for other requests, in milliseconds
 * @param predictedMillis the predicted time to the first event, in milliseconds
 * @param prefillMillis the predicted prefill time of the request, in milliseconds
 * @param cost the value that was minimized: the predicted time and the other costs of this engine, in milliseconds
 * @param fetchFrom the engine to fetch the prefix from; empty for the KV store
 * @param storeMillis how long the fetch occupies the store's link, in milliseconds; 0 when nothing is fetched from it
 * @param queryStore whether the engine queries the store for a prefix that its cache was expected to hold and does not
 * @param saveToStore whether the engine should save the blocks to the KV store
 * @param longAnswer whether the request was placed as a long answer
 * @param reason a description for the log
 */
public record EngineChoice(
        EngineCandidate engine,
        long prefixHash,
        double waitMillis,
        double predictedMillis,
        double prefillMillis,
        double cost,
        Optional<String> fetchFrom,
        double storeMillis,
        boolean queryStore,
        boolean saveToStore,
        boolean longAnswer,
        String reason) {}
