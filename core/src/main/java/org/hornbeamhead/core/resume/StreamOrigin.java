package org.hornbeamhead.core.resume;

/**
 * Which software began a stream.
 *
 * @param key the stream
 * @param software the version that wrote its first event
 */
public record StreamOrigin(StreamKey key, SoftwareVersion software) {}
