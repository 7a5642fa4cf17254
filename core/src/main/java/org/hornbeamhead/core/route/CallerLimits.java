package org.hornbeamhead.core.route;

/**
 * Size and time limits for requests from callers.
 *
 * @param maxHeaderBytes the maximum size of a request's header section, in bytes
 * @param maxBodyBytes the maximum size of a request's body, in bytes
 * @param headerTimeoutMillis how long the header section may take to arrive, in milliseconds
 * @param idleTimeoutMillis how long a connection may stay idle, in milliseconds
 */
public record CallerLimits(int maxHeaderBytes, int maxBodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {}
