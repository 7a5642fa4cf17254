package org.hornbeamhead.core.prefix;

/**
 * One nested beginning of a prompt.
 *
 * @param key the hash of the seed and of all bytes up to the level's end
 * @param tokens the estimated tokens up to the level's end
 */
public record PrefixLevel(long key, int tokens) {}
