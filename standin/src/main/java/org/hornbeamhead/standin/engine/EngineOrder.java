package org.hornbeamhead.standin.engine;

/**
 * An order to an engine.
 *
 * @param fence the fencing number of who gives it
 * @param weights the version of the weights to serve; empty to keep
 * @param draining whether to refuse new work
 */
public record EngineOrder(long fence, String weights, boolean draining) {}
