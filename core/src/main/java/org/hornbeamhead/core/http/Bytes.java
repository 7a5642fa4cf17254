package org.hornbeamhead.core.http;

import java.io.ByteArrayOutputStream;
import java.util.Arrays;

/** A byte range that readers consume from its start. */
public final class Bytes {
    private final byte[] array;
    private int from;
    private final int to;

    /**
     * Creates a view of a part of an array.
     *
     * @param array the bytes; not copied
     * @param from the index of the first byte
     * @param to the index after the last byte
     */
    public Bytes(byte[] array, int from, int to) {
        this.array = array;
        this.from = from;
        this.to = to;
    }

    /**
     * Creates a view of a whole array.
     *
     * @param array the bytes; not copied
     * @return the view
     */
    public static Bytes of(byte[] array) {
        return new Bytes(array, 0, array.length);
    }

    /**
     * Returns the number of unconsumed bytes.
     *
     * @return the number of bytes
     */
    public int remaining() {
        return to - from;
    }

    /**
     * Consumes bytes.
     *
     * @param count the number of bytes
     * @return a copy of the consumed bytes
     */
    public byte[] take(int count) {
        byte[] taken = Arrays.copyOfRange(array, from, from + count);
        from += count;
        return taken;
    }

    void moveTo(ByteArrayOutputStream out, int count) {
        out.write(array, from, count);
        from += count;
    }

    byte next() {
        return array[from++];
    }
}
