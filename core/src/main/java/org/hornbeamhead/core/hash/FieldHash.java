package org.hornbeamhead.core.hash;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Arrays;

/** Hashes lists of fields so that nobody who chooses some of them can bring about the hash of another list. */
public final class FieldHash {
    private FieldHash() {}

    /**
     * Hashes texts.
     *
     * @param fields the fields
     * @return the first eight bytes of a SHA-256 hash
     */
    public static long of(String... fields) {
        return of(Arrays.stream(fields)
                .map(f -> f.getBytes(StandardCharsets.UTF_8))
                .toArray(byte[][]::new));
    }

    /**
     * Hashes bytes. The length goes before each field, so that moving bytes from one field to the next changes the
     * hash.
     *
     * @param fields the fields
     * @return the first eight bytes of a SHA-256 hash
     */
    public static long of(byte[]... fields) {
        MessageDigest hash = sha256();
        for (byte[] field : fields) {
            hash.update(ByteBuffer.allocate(Integer.BYTES).putInt(field.length).array());
            hash.update(field);
        }
        return ByteBuffer.wrap(hash.digest()).getLong();
    }

    private static MessageDigest sha256() {
        try {
            return MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("SHA-256 is not available in this Java runtime", e);
        }
    }
}
