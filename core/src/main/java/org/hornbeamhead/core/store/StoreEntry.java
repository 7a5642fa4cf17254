package org.hornbeamhead.core.store;

/**
 * A key with its value.
 *
 * @param key the key
 * @param version rises with each write of the key; never 0
 * @param value the value
 */
public record StoreEntry(String key, long version, String value) {}
