package org.hornbeamhead.core.endpoint;

/**
 * The load reported by an engine, which lags behind its actual state.
 *
 * @param incarnation identifies one run of the engine; changes with each start
 * @param model the model it serves
 * @param weights the version of the weights it serves
 * @param waitingTokens prompt tokens accepted, not cached, and not yet computed
 * @param running the number of streams being generated
 * @param draining whether the engine refuses new work
 */
public record LoadReport(
        String incarnation, String model, String weights, long waitingTokens, int running, boolean draining) {}
