package org.hornbeamhead.core.config;

/**
 * Who makes a change, and why.
 *
 * @param name the operator's name
 * @param reason why, on one line
 * @param wallMillis when, in milliseconds since the Unix epoch
 * @param changeId a number drawn once for the change, the same for each try
 */
public record ConfigAuthor(String name, String reason, long wallMillis, String changeId) {}
