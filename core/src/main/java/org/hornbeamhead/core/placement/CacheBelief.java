package org.hornbeamhead.core.placement;

/**
 * What is believed to be cached of one prompt at one replica.
 *
 * @param tokens the tokens of the deepest level that was sent there; 0 for none
 * @param ageMillis how long ago it was last sent
 * @param likelihood how likely it is still there, from 0 to 1
 */
public record CacheBelief(int tokens, long ageMillis, double likelihood) {
    /** Nothing was sent there. */
    public static final CacheBelief NONE = new CacheBelief(0, 0, 0);

    /**
     * Gives the tokens that are expected to be cached.
     *
     * @return tokens
     */
    public int expectedTokens() {
        return (int) (tokens * likelihood);
    }
}
