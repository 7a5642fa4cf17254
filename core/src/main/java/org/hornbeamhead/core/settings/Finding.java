package org.hornbeamhead.core.settings;

/**
 * One thing wrong with an input, with its place.
 *
 * @param source the file name or the name of the request part
 * @param line the line, counted from 1, or 0 where the input has no lines
 * @param section the INI section or the JSON path's parent; may be empty
 * @param key the key; may be empty when the section itself is at fault
 * @param message what is wrong and what would be right
 */
public record Finding(String source, int line, String section, String key, String message) {
    /**
     * Renders the finding as {@code file:line: [section] key: message}.
     *
     * @return one line of text
     */
    public String render() {
        StringBuilder s = new StringBuilder(source);
        if (line > 0) {
            s.append(':').append(line);
        }
        s.append(": ");
        if (!section.isEmpty()) {
            s.append('[').append(section).append("] ");
        }
        if (!key.isEmpty()) {
            s.append(key).append(": ");
        }
        return s.append(message).toString();
    }
}
