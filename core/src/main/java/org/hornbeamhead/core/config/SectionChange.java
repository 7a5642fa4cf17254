package org.hornbeamhead.core.config;

import java.util.Optional;

/**
 * One section's new text, or its removal.
 *
 * @param name the section's name; empty for the lines before the first header
 * @param text the section's whole text with its header, each line ended by a line feed; empty to remove the section
 */
public record SectionChange(String name, Optional<String> text) {}
