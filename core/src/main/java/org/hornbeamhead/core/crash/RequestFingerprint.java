package org.hornbeamhead.core.crash;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;

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
        MessageDigest hash = sha256();
        add(hash, path.getBytes(StandardCharsets.UTF_8));
        add(hash, customer.getBytes(StandardCharsets.UTF_8));
        add(hash, body);
        return new RequestFingerprint(ByteBuffer.wrap(hash.digest()).getLong());
    }

    /** Hashes the length before the field, so that moving bytes from one field to the next changes the fingerprint. */
    private static void add(MessageDigest hash, byte[] field) {
        hash.update(ByteBuffer.allocate(Integer.BYTES).putInt(field.length).array());
        hash.update(field);
    }

    private static MessageDigest sha256() {
        try {
            return MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("SHA-256 is not available in this Java runtime", e);
        }
    }

    @Override
    public String toString() {
        return String.format("%016x", value);
    }
}
