package org.hornbeamhead.core.store;

/**
 * A key with its version and value.
 *
 * @param key the key
 * @param version the version, which increases with each write of the key; never 0
 * @param value the value
 */
public record StoreEntry(String key, long version, String value) {}
