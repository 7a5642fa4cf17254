package org.hornbeamhead.core.engine;

import java.util.List;
import java.util.stream.Collectors;

/**
 * The input of a request to a model.
 *
 * @param model the model's name
 * @param parts the parts of the prompt in order; the last belongs to this request or its session only
 * @param maxOutputTokens the maximum length of the answer, in tokens
 */
public record Prompt(String model, List<PromptPart> parts, int maxOutputTokens) {
    /**
     * An event holds six tokens in the deployments; an answer of at most this length has three events and a remainder.
     */
    private static final int SHORT_OUTPUT_TOKENS = 20;

    /** Copies the parts, so that the prompt is immutable. */
    public Prompt {
        parts = List.copyOf(parts);
    }

    /**
     * Returns the length of the prompt.
     *
     * @return the tokens of all parts
     */
    public int tokens() {
        return parts.stream().mapToInt(PromptPart::tokens).sum();
    }

    /**
     * Returns the parts that other requests share.
     *
     * @return all parts but the last
     */
    public List<PromptPart> sharedParts() {
        return parts.subList(0, Math.max(0, parts.size() - 1));
    }

    /**
     * Returns the length of the prefix that other requests share.
     *
     * @return the tokens of all parts but the last
     */
    public int sharedTokens() {
        return parts.isEmpty() ? 0 : tokens() - parts.get(parts.size() - 1).tokens();
    }

    /**
     * Returns the number of tokens that the request takes in an engine's memory.
     *
     * @return the tokens of the prompt and of the longest answer
     */
    public int memoryTokens() {
        return tokens() + maxOutputTokens;
    }

    /**
     * Returns whether the answer is long enough for its pauses to matter.
     *
     * @return false for an answer of one to three events, which ends before prefill work at the engine can delay it
     */
    public boolean hasLongAnswer() {
        return maxOutputTokens > SHORT_OUTPUT_TOKENS;
    }

    /**
     * Returns a key of the prefix that other requests share.
     *
     * @return the ids of all parts but the last; empty for a prompt without shared parts
     */
    public String sharedKey() {
        return sharedParts().stream().map(PromptPart::id).collect(Collectors.joining("/"));
    }
}
