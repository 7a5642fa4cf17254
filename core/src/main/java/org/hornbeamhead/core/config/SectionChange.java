package org.hornbeamhead.core.config;

import java.util.Optional;

/**
 * The new text of one section, or its removal.
 *
 * @param name the name of the section; empty for the lines before the first header
 * @param text the complete text of the section with its header, each line terminated by a line feed; empty to remove
 *     the section
 */
public record SectionChange(String name, Optional<String> text) {}
