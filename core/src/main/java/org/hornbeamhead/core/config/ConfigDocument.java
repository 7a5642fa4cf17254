package org.hornbeamhead.core.config;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * An operators' INI text, cut into its sections so that a change can be told by the sections that differ. Immutable.
 *
 * <p>At 13,000 changes a day a fleet cannot pass the whole text around for each; a change of one customer is some
 * hundred bytes.
 */
public final class ConfigDocument {
    private final Map<String, String> sections;

    private ConfigDocument(Map<String, String> sections) {
        this.sections = sections;
    }

    /**
     * Cuts a text. A section runs from its header to the next.
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
     * Joins the sections.
     *
     * @return the INI text
     */
    public String text() {
        return String.join("", sections.values());
    }

    /**
     * Tells which sections differ.
     *
     * @param later the later document
     * @return the changes that lead to it, if applying them gives exactly its text
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
     * Applies changes. Changed sections keep their place, new ones go to the end.
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
