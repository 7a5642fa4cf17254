package org.hornbeamhead.core.http;

/**
 * A header field.
 *
 * @param name the name in its original case
 * @param value the value without surrounding whitespace
 */
public record Header(String name, String value) {}
