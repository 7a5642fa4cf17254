package org.hornbeamhead.core.placement;

/**
 * An estimate of how much of one prompt is cached at one replica.
 *
 * @param tokens the number of tokens up to the prefix level on which the estimate is based; 0 if none was sent
 * @param ageMillis the time since that level was last sent, in milliseconds
 * @param hitProbability the probability that it is still cached, from 0 to 1
 */
public record CacheEstimate(int tokens, long ageMillis, double hitProbability) {
    /** The estimate for a replica to which no part of the prompt was sent. */
    public static final CacheEstimate NONE = new CacheEstimate(0, 0, 0);

    /**
     * Returns the expected number of cached tokens.
     *
     * @return the number of tokens, weighted by the hit probability
     */
    public int expectedTokens() {
        return (int) (tokens * hitProbability);
    }
}
