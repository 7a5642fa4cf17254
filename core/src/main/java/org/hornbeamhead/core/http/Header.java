package org.hornbeamhead.core.http;

/**
 * A header line.
 *
 * @param name the name as it was written
 * @param value the value without surrounding blanks
 */
public record Header(String name, String value) {}
