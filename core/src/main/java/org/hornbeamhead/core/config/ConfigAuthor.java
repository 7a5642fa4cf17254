package org.hornbeamhead.core.config;

/**
 * The author of a configuration change and its metadata.
 *
 * @param name the operator's name
 * @param reason the reason for the change, on one line
 * @param wallMillis the time of the change, in milliseconds since the Unix epoch
 * @param changeId the unique id of the change, the same for every attempt
 */
public record ConfigAuthor(String name, String reason, long wallMillis, String changeId) {}
