package org.hornbeamhead.core.settings;

import java.util.List;
import java.util.Optional;

/**
 * A section of an INI text.
 *
 * @param source the name of the file
 * @param line the line number of the header, counted from 1
 * @param name the full name of the section
 * @param entries the entries in the order of the text
 */
public record IniSection(String source, int line, String name, List<IniEntry> entries) {
    /** Copies the entries to keep the section immutable. */
    public IniSection {
        entries = List.copyOf(entries);
    }

    /**
     * Returns the first word of the name: {@code class} of {@code class counter}.
     *
     * @return the kind of section
     */
    public String kind() {
        int space = name.indexOf(' ');
        return space < 0 ? name : name.substring(0, space);
    }

    /**
     * Returns what follows the kind: {@code counter} of {@code class counter}.
     *
     * @return the title, or an empty string
     */
    public String title() {
        int space = name.indexOf(' ');
        return space < 0 ? "" : name.substring(space + 1).trim();
    }

    /**
     * Finds an entry.
     *
     * @param key the key
     * @return the last entry with this key, as in most INI parsers; empty if there is none
     */
    public Optional<IniEntry> entry(String key) {
        return entries.stream().filter(e -> e.key().equals(key)).reduce((a, b) -> b);
    }
}
