package org.hornbeamhead.core.route;

/**
 * The time and attempt limits of the requests of a route.
 *
 * @param timeoutMillis the maximum time that a caller waits, in milliseconds
 * @param latencyTargetMillis the target latency of a response, or of a stream's first event, in milliseconds
 * @param gapTargetMillis the target maximum gap between two events of a stream, in milliseconds; 0 if there are no
 *     streams
 * @param maxAttempts the maximum number of replicas that may execute one request
 */
public record RouteLimits(long timeoutMillis, long latencyTargetMillis, long gapTargetMillis, int maxAttempts) {}
