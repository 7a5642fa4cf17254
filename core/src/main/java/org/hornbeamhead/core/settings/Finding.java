package org.hornbeamhead.core.settings;

/**
 * An error in an input, with its location.
 *
 * @param source the name of the file or of the part of the request
 * @param line the line number, counted from 1, or 0 if the input has no lines
 * @param section the INI section or the parent of the JSON path; may be empty
 * @param key the key; empty if the section itself is invalid
 * @param message what is wrong and what is expected
 */
public record Finding(String source, int line, String section, String key, String message) {
    /**
     * Formats the finding as {@code file:line: [section] key: message}.
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
