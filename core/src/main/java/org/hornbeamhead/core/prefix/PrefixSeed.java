package org.hornbeamhead.core.prefix;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * The properties that separate cache entries from one another. Two requests can share a cached block only if their
 * seeds are equal.
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
     * Returns the salt that engines add to their own cache keys.
     *
     * <p>Two customers may send the same bytes. Without a salt, one could learn from the cached-token count or the
     * speed that the other did, or an engine could serve blocks that were computed with older weights. The salt is a
     * cryptographic hash of all four components, so that no request can address such an entry, whatever the engine has
     * cached.
     *
     * @return 32 hexadecimal digits
     */
    public String salt() {
        String joined = customer + SEPARATOR + model + SEPARATOR + weights + SEPARATOR + adapter;
        return HexFormat.of().formatHex(sha256(joined.getBytes(StandardCharsets.UTF_8)), 0, SALT_BYTES);
    }

    /**
     * Returns the seed for another version of the weights.
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
            throw new IllegalStateException("the Java platform does not provide SHA-256", e);
        }
    }
}
