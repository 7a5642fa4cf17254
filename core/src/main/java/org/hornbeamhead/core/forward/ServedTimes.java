package org.hornbeamhead.core.forward;

/**
 * When the parts of a complete response reached the caller, as seen by the router.
 *
 * @param firstMillis the time from the arrival of the request to the first event; negative if there were no events
 * @param longestPauseMillis the longest time between two events
 * @param totalMillis the time from the arrival of the request to the end of the response
 */
public record ServedTimes(long firstMillis, long longestPauseMillis, long totalMillis) {}
