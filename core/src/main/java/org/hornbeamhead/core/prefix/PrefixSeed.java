package org.hornbeamhead.core.prefix;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * All that separates one set of cache entries from another. Two requests can share a cached block only if their seeds
 * are equal.
 *
 * @param customer the customer's name
 * @param model the model's name
 * @param weights the version of the weights
 * @param adapter the adapter's name, or an empty string
 */
public record PrefixSeed(String customer, String model, String weights, String adapter) {
    private static final char SEPARATOR = '\0';
    private static final int SALT_BYTES = 16;

    /**
     * Gives the salt that engines mix into their own cache keys.
     *
     * <p>Failure: two customers send the same bytes, and one learns from the cached-token count or the speed that the
     * other did, or an engine serves blocks computed under older weights. A salt made of all four parts with a
     * cryptographic hash makes such an entry impossible to name, whatever the engine keeps.
     *
     * @return 32 hexadecimal digits
     */
    public String salt() {
        String joined = customer + SEPARATOR + model + SEPARATOR + weights + SEPARATOR + adapter;
        return HexFormat.of().formatHex(sha256(joined.getBytes(StandardCharsets.UTF_8)), 0, SALT_BYTES);
    }

    /**
     * Gives the seed for another version of the weights.
     *
     * @param version the version
     * @return the seed
     */
    public PrefixSeed withWeights(String version) {
        return new PrefixSeed(customer, model, version, adapter);
    }

    private static byte[] sha256(byte[] bytes) {
        try {
            return MessageDigest.getInstance("SHA-256").digest(bytes);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform has SHA-256", e);
        }
    }
}
