package org.hornbeamhead.soak.promise;

/**
 * A promise that was not kept.
 *
 * @param promise its name
 * @param what what was seen
 * @param at when, in milliseconds since the run began
 */
public record Breach(String promise, String what, long at) {}
