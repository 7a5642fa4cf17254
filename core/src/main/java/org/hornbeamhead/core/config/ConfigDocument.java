package org.hornbeamhead.core.config;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The operators' INI text, split into sections so that a change can be expressed as the sections that differ.
 * Immutable.
 *
 * <p>A fleet with 13,000 changes a day cannot distribute the whole text for each one; a change to one customer takes a
 * few hundred bytes.
 */
public final class ConfigDocument {
    private final Map<String, String> sections;

    private ConfigDocument(Map<String, String> sections) {
        this.sections = sections;
    }

    /**
     * Splits a text into sections. A section extends from its header to the next header.
     *
     * @param text the INI text
     * @return the document
     */
    public static ConfigDocument of(String text) {
        Map<String, String> sections = new LinkedHashMap<>();
        String name = "";
        StringBuilder current = new StringBuilder();
        for (String line : text.lines().toList()) {
            if (line.startsWith("[") && line.indexOf(']') > 0) {
                sections.merge(name, current.toString(), String::concat);
                name = line.substring(1, line.indexOf(']')).trim();
                current.setLength(0);
            }
            current.append(line).append('\n');
        }
        sections.merge(name, current.toString(), String::concat);
        return new ConfigDocument(sections);
    }

    /**
     * Returns the sections joined into one text.
     *
     * @return the INI text
     */
    public String text() {
        return String.join("", sections.values());
    }

    /**
     * Computes the section changes that turn this document into a later one.
     *
     * @param later the later document
     * @return the changes; empty if applying them would not reproduce the later text exactly
     */
    public Optional<List<SectionChange>> changesTo(ConfigDocument later) {
        List<SectionChange> changes = new ArrayList<>();
        sections.keySet().stream()
                .filter(name -> !later.sections.containsKey(name))
                .forEach(name -> changes.add(new SectionChange(name, Optional.empty())));
        later.sections.forEach((name, text) -> {
            if (!text.equals(sections.get(name))) {
                changes.add(new SectionChange(name, Optional.of(text)));
            }
        });
        return apply(changes).text().equals(later.text()) ? Optional.of(changes) : Optional.empty();
    }

    /**
     * Applies section changes. Changed sections keep their position; new sections are appended.
     *
     * @param changes the changes
     * @return the changed document
     */
    public ConfigDocument apply(List<SectionChange> changes) {
        Map<String, String> next = new LinkedHashMap<>(sections);
        changes.forEach(c -> c.text().ifPresentOrElse(t -> next.put(c.name(), t), () -> next.remove(c.name())));
        return new ConfigDocument(next);
    }
}
