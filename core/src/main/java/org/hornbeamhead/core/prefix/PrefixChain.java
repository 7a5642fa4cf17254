package org.hornbeamhead.core.prefix;

import java.util.List;

/**
 * The nested prefixes of one prompt, shortest first. The last level is the whole prompt.
 *
 * @param levels at least one level, with token counts that never decrease
 */
public record PrefixChain(List<PrefixLevel> levels) {
    private static final int HOUSE = 0;
    private static final int DOSSIER = 1;

    /** Copies the levels, so that the chain is immutable. */
    public PrefixChain {
        levels = List.copyOf(levels);
        if (levels.isEmpty()) {
            throw new IllegalArgumentException("a prefix chain must have at least one level");
        }
    }

    /**
     * Returns the level that many prompts share: the instructions of a house or an office.
     *
     * @return the first level
     */
    public PrefixLevel house() {
        return levels.get(HOUSE);
    }

    /**
     * Returns the level that a few prompts share: the dossier or case file after the instructions.
     *
     * @return the second level, or the first of a chain that has only one
     */
    public PrefixLevel dossier() {
        return levels.get(Math.min(DOSSIER, levels.size() - 1));
    }

    /**
     * Returns the estimated length of the whole prompt.
     *
     * @return the number of tokens
     */
    public int tokens() {
        return levels.get(levels.size() - 1).tokens();
    }
}
