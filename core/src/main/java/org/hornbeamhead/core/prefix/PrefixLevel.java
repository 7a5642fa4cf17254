package org.hornbeamhead.core.prefix;

/**
 * One of the nested prefixes of a prompt.
 *
 * @param key the hash of the seed and of all bytes up to the end of the level
 * @param tokens the estimated number of tokens up to the end of the level
 */
public record PrefixLevel(long key, int tokens) {}
