package org.hornbeamhead.standin.platform;

/**
 * What the stand-in key-value service counted since its start.
 *
 * @param reads reads and watches asked for
 * @param writes writes and lease calls asked for
 * @param refused calls refused for the rate
 */
public record StoreStats(long reads, long writes, long refused) {}
