package org.hornbeamhead.standin.engine;

import java.nio.charset.StandardCharsets;
import net.openhft.hashing.LongHashFunction;

/**
 * A request as the engine's model sees it.
 *
 * @param id the request's id
 * @param promptTokens the prompt's length
 * @param blocks the prompt's whole blocks, salted
 * @param maxTokens how many tokens to generate in all
 * @param firstToken the number of the first token to generate, above 0 when an answer is continued
 * @param textSeed decides the generated text
 * @param priority the lower goes first
 */
public record EngineRequest(
        String id, int promptTokens, BlockChain blocks, int maxTokens, int firstToken, long textSeed, int priority) {
    static final int BYTES_PER_TOKEN = 4;

    /**
     * Counts a prompt's tokens.
     *
     * @param prompt the prompt
     * @return tokens
     */
    public static int tokens(String prompt) {
        return (prompt.getBytes(StandardCharsets.UTF_8).length + BYTES_PER_TOKEN - 1) / BYTES_PER_TOKEN;
    }

    /**
     * Gives the text of a generated token, always five characters.
     *
     * @param index the token's number
     * @return the text
     */
    public String tokenText(int index) {
        long hash = LongHashFunction.xx3(textSeed).hashInt(index);
        return String.format(" %04d", Math.floorMod(hash, 10_000L));
    }
}
