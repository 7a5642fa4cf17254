package org.hornbeamhead.core.settings;

/**
 * A {@code key = value} line of an INI text.
 *
 * @param source the name of the file
 * @param line the line number, counted from 1
 * @param section the full name of the section, such as {@code class counter}
 * @param key the key
 * @param value the trimmed value
 */
public record IniEntry(String source, int line, String section, String key, String value) {}
