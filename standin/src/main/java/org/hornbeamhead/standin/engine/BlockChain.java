package org.hornbeamhead.standin.engine;

import java.nio.charset.StandardCharsets;
import net.openhft.hashing.LongHashFunction;

/** The whole blocks of a prompt as chained, salted hashes. Immutable. */
public final class BlockChain {
    private static final int BLOCK_BYTES = BlockCache.BLOCK_TOKENS * EngineRequest.BYTES_PER_TOKEN;

    private final long[] hashes;

    private BlockChain(long[] hashes) {
        this.hashes = hashes;
    }

    /**
     * Cuts a prompt into blocks.
     *
     * @param salt keeps apart what must not be shared
     * @param prompt the prompt
     * @return its whole blocks
     */
    public static BlockChain of(String salt, String prompt) {
        byte[] text = prompt.getBytes(StandardCharsets.UTF_8);
        long[] hashes = new long[text.length / BLOCK_BYTES];
        long key = LongHashFunction.xx3().hashBytes(salt.getBytes(StandardCharsets.UTF_8));
        for (int i = 0; i < hashes.length; i++) {
            key = LongHashFunction.xx3(key).hashBytes(text, i * BLOCK_BYTES, BLOCK_BYTES);
            hashes[i] = key;
        }
        return new BlockChain(hashes);
    }

    /**
     * Makes a chain out of nested parts without a text, for measurements in virtual time.
     *
     * @param keys one key a part, each depending on those before it
     * @param tokens where each part ends, in tokens
     * @return the whole blocks
     */
    public static BlockChain ofLevels(long[] keys, int[] tokens) {
        long[] hashes = new long[tokens[tokens.length - 1] / BlockCache.BLOCK_TOKENS];
        int level = 0;
        for (int i = 0; i < hashes.length; i++) {
            while ((i + 1) * BlockCache.BLOCK_TOKENS > tokens[level]) {
                level++;
            }
            hashes[i] = LongHashFunction.xx3(keys[level]).hashInt(i);
        }
        return new BlockChain(hashes);
    }

    int length() {
        return hashes.length;
    }

    long get(int index) {
        return hashes[index];
    }
}
