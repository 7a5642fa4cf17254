package org.hornbeamhead.core.route;

/**
 * How long and how often the requests of a route may be tried.
 *
 * @param timeoutMillis the longest time that a caller is kept waiting, in milliseconds
 * @param targetMillis the time within which an answer, or a stream's first event, is on time, in milliseconds
 * @param pauseMillis the longest pause between two events that is on time, in milliseconds; 0 for no streams
 * @param maxAttempts the number of replicas that may run one request
 */
public record RouteLimits(long timeoutMillis, long targetMillis, long pauseMillis, int maxAttempts) {}
