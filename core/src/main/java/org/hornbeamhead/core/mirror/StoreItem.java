package org.hornbeamhead.core.mirror;

/**
 * The state of a key of the platform's store at one revision.
 *
 * @param key the key
 * @param revision the revision at which the key was last written or removed
 * @param value the value, or an empty string if the key was removed
 * @param removed whether the key was removed
 */
public record StoreItem(String key, long revision, String value, boolean removed) {}
