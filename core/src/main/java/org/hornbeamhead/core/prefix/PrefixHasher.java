package org.hornbeamhead.core.prefix;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import net.openhft.hashing.LongHashFunction;

/** Computes the prefix chain of a prompt. A pure function: all routers compute the same keys without communication. */
public final class PrefixHasher {
    /** Average number of bytes of a token, used since no tokenizer is available. */
    public static final int BYTES_PER_TOKEN = 4;

    private static final int PLAIN_HOUSE_BYTES = 2048;
    private static final int PLAIN_DOSSIER_BYTES = 8192;

    private PrefixHasher() {}

    /**
     * Computes the chain of a chat prompt. Each message ends a level.
     *
     * @param seed separates this prompt's cache entries from others
     * @param messages the messages' texts with their roles, in order; at least one
     * @return the chain
     */
    public static PrefixChain chat(PrefixSeed seed, List<String> messages) {
        List<PrefixLevel> levels = new ArrayList<>(messages.size());
        long key = seedKey(seed);
        long bytes = 0;
        for (String message : messages) {
            byte[] text = message.getBytes(StandardCharsets.UTF_8);
            key = LongHashFunction.xx3(key).hashBytes(text);
            bytes += text.length;
            levels.add(new PrefixLevel(key, tokens(bytes)));
        }
        return new PrefixChain(levels);
    }

    /**
     * Computes the chain of a plain prompt. Without message boundaries, levels end at fixed byte counts.
     *
     * @param seed separates this prompt's cache entries from others
     * @param prompt the text
     * @return the chain
     */
    public static PrefixChain plain(PrefixSeed seed, String prompt) {
        byte[] text = prompt.getBytes(StandardCharsets.UTF_8);
        List<PrefixLevel> levels = new ArrayList<>();
        long key = seedKey(seed);
        int start = 0;
        for (int limit : new int[] {PLAIN_HOUSE_BYTES, PLAIN_DOSSIER_BYTES, text.length}) {
            int end = Math.min(limit, text.length);
            if (end > start || levels.isEmpty()) {
                key = LongHashFunction.xx3(key).hashBytes(text, start, end - start);
                levels.add(new PrefixLevel(key, tokens(end)));
                start = end;
            }
        }
        return new PrefixChain(levels);
    }

    private static long seedKey(PrefixSeed seed) {
        return LongHashFunction.xx3().hashBytes(seed.salt().getBytes(StandardCharsets.US_ASCII));
    }

    private static int tokens(long bytes) {
        return (int) Math.min(Integer.MAX_VALUE, (bytes + BYTES_PER_TOKEN - 1) / BYTES_PER_TOKEN);
    }
}
