package org.hornbeamhead.core.engine;

import java.util.List;
import java.util.OptionalInt;
import java.util.stream.Collectors;

/**
 * The input of a request to a model.
 *
 * @param model the model's name
 * @param parts the parts of the prompt in order; the last belongs to this request or its session only
 * @param maxOutputTokens the maximum length of the answer, in tokens
 * @param expectedOutputTokens the caller's estimate of the length of the answer, in tokens; empty if it states none
 */
public record Prompt(String model, List<PromptPart> parts, int maxOutputTokens, OptionalInt expectedOutputTokens) {
    /**
     * An event holds six tokens in the deployments; an answer of at most this length has three events and a remainder.
     */
    private static final int SHORT_OUTPUT_TOKENS = 20;

    /**
     * Prompt tokens that an engine prefills in the time of its decoding steps that one output token accounts for: a
     * step makes a token for each of about eight requests and takes as long as the prefill of 240 tokens.
     */
    private static final long PROMPT_TOKENS_PER_OUTPUT_TOKEN = 30;

    /** Copies the parts, so that the prompt is immutable. */
    public Prompt {
        parts = List.copyOf(parts);
    }

    /**
     * Creates a prompt without an estimate of the length of its answer.
     *
     * @param model the model's name
     * @param parts the parts of the prompt in order
     * @param maxOutputTokens the maximum length of the answer, in tokens
     */
    public Prompt(String model, List<PromptPart> parts, int maxOutputTokens) {
        this(model, parts, maxOutputTokens, OptionalInt.empty());
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
     * Returns whether an engine is expected to spend more of its time on decoding the answer than on prefilling the
     * prompt.
     *
     * @return true for a long answer, relative to its prompt; by the maximum length if no estimate is stated
     */
    public boolean isMostlyDecoding() {
        return expectedOutputTokens.orElse(maxOutputTokens) * PROMPT_TOKENS_PER_OUTPUT_TOKEN > tokens();
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
