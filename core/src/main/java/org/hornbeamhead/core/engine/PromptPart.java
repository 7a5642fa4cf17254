package org.hornbeamhead.core.engine;

/**
 * A part of a prompt that a replica may have cached.
 *
 * @param id identifies its content together with all parts before it
 * @param tokens its length
 */
public record PromptPart(String id, int tokens) {}
