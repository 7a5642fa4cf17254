package org.hornbeamhead.core.mirror;

/**
 * A key of the platform's store as of one revision.
 *
 * @param key the key
 * @param revision the revision at which it was last written, or removed
 * @param value its text; empty when removed
 * @param removed whether the key is gone
 */
public record StoreItem(String key, long revision, String value, boolean removed) {}
