package org.hornbeamhead.standin.engine;

/** Receives what an engine generates for one request. */
public interface EngineSink {
    /**
     * The prompt is computed.
     *
     * @param cachedTokens how much of it was cached
     */
    void prefilled(int cachedTokens);

    /**
     * A token was generated.
     *
     * @param index its number
     * @param text its text
     */
    void token(int index, String text);

    /** All tokens were generated. */
    void finished();
}
