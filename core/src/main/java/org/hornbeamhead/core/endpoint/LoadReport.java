package org.hornbeamhead.core.endpoint;

/**
 * The load reported by an engine, which lags behind its actual state.
 *
 * @param incarnation identifies one run of the engine; changes with each start
 * @param software the name of the version of its software; empty if it states none
 * @param model the model it serves
 * @param weights the version of the weights it serves
 * @param waitingTokens prompt tokens accepted, not cached, and not yet computed
 * @param running the number of streams being generated
 * @param draining whether the engine refuses new work
 */
public record LoadReport(
        String incarnation,
        String software,
        String model,
        String weights,
        long waitingTokens,
        int running,
        boolean draining) {
    /** Takes an engine that states no software version for one of an unknown version. */
    public LoadReport {
        software = software == null ? "" : software;
    }
}
