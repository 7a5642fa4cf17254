package org.hornbeamhead.core.endpoint;

/**
 * What an engine says of itself, with a lag.
 *
 * @param incarnation changes with each start of the engine
 * @param model the model it serves
 * @param weights the version of the weights it serves
 * @param waitingTokens prompt tokens accepted, not cached, and not yet computed
 * @param running streams being generated
 * @param draining whether the engine refuses new work
 */
public record LoadReport(
        String incarnation, String model, String weights, long waitingTokens, int running, boolean draining) {}
