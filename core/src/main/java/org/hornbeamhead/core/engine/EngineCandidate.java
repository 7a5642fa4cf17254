package org.hornbeamhead.core.engine;

/**
 * An engine that a request may be sent to.
 *
 * @param id identifies one run of the engine
 * @param dataCentre its data centre
 * @param weights the version of the model's weights that it serves
 * @param storeWarm whether the weights were named so long ago that the KV store holds the prefixes in use
 * @param load the work at the engine
 * @param memoryTokens the number of tokens that fit into its memory
 * @param slots the number of requests that it runs at once
 * @param superseded whether answers on these weights are worth less, since newer ones were published some time ago
 * @param usableMillis how long requests may still start on these weights, in milliseconds
 * @param weightChangePending whether it is about to change its weights, so that new requests would be rejected or delay
 *     it
 * @param pace the factor by which work takes longer there than usual, 1 if unknown
 */
public record EngineCandidate(
        String id,
        String dataCentre,
        long weights,
        boolean storeWarm,
        EngineLoad load,
        long memoryTokens,
        int slots,
        boolean superseded,
        long usableMillis,
        boolean weightChangePending,
        double pace) {
    /** Checks the pace. */
    public EngineCandidate {
        if (!(pace >= 1) || Double.isInfinite(pace)) {
            throw new IllegalArgumentException("invalid pace: " + pace);
        }
    }

    /**
     * Creates a candidate whose pace is unknown.
     *
     * @param id identifies one run of the engine
     * @param dataCentre its data centre
     * @param weights the version of the model's weights that it serves
     * @param storeWarm whether the weights were named so long ago that the KV store holds the prefixes in use
     * @param load the work at the engine
     * @param memoryTokens the number of tokens that fit into its memory
     * @param slots the number of requests that it runs at once
     * @param superseded whether answers on these weights are worth less
     * @param usableMillis how long requests may still start on these weights, in milliseconds
     * @param weightChangePending whether it is about to change its weights
     */
    public EngineCandidate(
            String id,
            String dataCentre,
            long weights,
            boolean storeWarm,
            EngineLoad load,
            long memoryTokens,
            int slots,
            boolean superseded,
            long usableMillis,
            boolean weightChangePending) {
        this(
                id,
                dataCentre,
                weights,
                storeWarm,
                load,
                memoryTokens,
                slots,
                superseded,
                usableMillis,
                weightChangePending,
                1);
    }
}
