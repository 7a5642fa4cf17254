package org.hornbeamhead.core.engine;

import java.util.List;
import java.util.stream.Collectors;

/**
 * What a request asks a model for.
 *
 * @param model the model's name
 * @param parts the parts of the prompt in order; the last belongs to this request or its session alone
 * @param outputTokens the most tokens of the answer
 */
public record Prompt(String model, List<PromptPart> parts, int outputTokens) {
    /** An event holds six tokens on the sheets; an answer of no more tokens than this has three events and a rest. */
    private static final int SHORT_OUTPUT_TOKENS = 20;

    /** Copies the parts, so that the prompt cannot change. */
    public Prompt {
        parts = List.copyOf(parts);
    }

    /**
     * Counts the prompt.
     *
     * @return the tokens of all parts
     */
    public int tokens() {
        return parts.stream().mapToInt(PromptPart::tokens).sum();
    }

    /**
     * Counts what other requests share.
     *
     * @return the tokens of all parts but the last
     */
    public int sharedTokens() {
        return parts.isEmpty() ? 0 : tokens() - parts.get(parts.size() - 1).tokens();
    }

    /**
     * Counts what the request takes of an engine's memory.
     *
     * @return the tokens of the prompt and of the longest answer
     */
    public int memoryTokens() {
        return tokens() + outputTokens;
    }

    /**
     * Tells whether the answer is long enough for its pauses to matter.
     *
     * @return false for an answer of one to three events, which is over before the engine's reading can hold it up
     */
    public boolean hasLongAnswer() {
        return outputTokens > SHORT_OUTPUT_TOKENS;
    }

    /**
     * Names what other requests share.
     *
     * @return the ids of all parts but the last; empty for a prompt without shared parts
     */
    public String sharedKey() {
        return parts.stream()
                .limit(Math.max(0, parts.size() - 1))
                .map(PromptPart::id)
                .collect(Collectors.joining("/"));
    }
}
