package org.hornbeamhead.core.settings;

/**
 * One {@code key = value} line of an INI text.
 *
 * @param source the file's name
 * @param line the line, counted from 1
 * @param section the section's full name, such as {@code class counter}
 * @param key the key
 * @param value the value, trimmed
 */
public record IniEntry(String source, int line, String section, String key, String value) {}
