package org.hornbeamhead.core.crash;

import java.nio.charset.StandardCharsets;
import org.hornbeamhead.core.hash.FieldHash;

/**
 * Identifies a request by its content: equal path, customer and body give the same fingerprint, regardless of the id
 * that the caller set. The content cannot be recovered from it.
 *
 * @param value the first eight bytes of a SHA-256 hash
 */
public record RequestFingerprint(long value) {
    /**
     * Computes the fingerprint of a request.
     *
     * @param path the path including the query
     * @param customer the customer's name, empty for anonymous callers
     * @param body the request body
     * @return the fingerprint
     */
    public static RequestFingerprint of(String path, String customer, byte[] body) {
        return new RequestFingerprint(
                FieldHash.of(path.getBytes(StandardCharsets.UTF_8), customer.getBytes(StandardCharsets.UTF_8), body));
    }

    @Override
    public String toString() {
        return String.format("%016x", value);
    }
}
