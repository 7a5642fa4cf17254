package org.hornbeamhead.core.route;

/**
 * What a caller may send, and how long it may take.
 *
 * @param headerBytes the size of a request's head
 * @param bodyBytes the size of a request's body
 * @param headerTimeoutMillis how long a head may take to arrive, in milliseconds
 * @param idleTimeoutMillis how long a connection may stay idle, in milliseconds
 */
public record CallerLimits(int headerBytes, int bodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {}
