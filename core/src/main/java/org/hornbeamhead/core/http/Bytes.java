package org.hornbeamhead.core.http;

import java.util.Arrays;

/** A range of bytes that readers use up from its beginning. */
public final class Bytes {
    private final byte[] array;
    private int from;
    private final int to;

    /**
     * Takes a range.
     *
     * @param array the bytes; not copied
     * @param from the first
     * @param to behind the last
     */
    public Bytes(byte[] array, int from, int to) {
        this.array = array;
        this.from = from;
        this.to = to;
    }

    /**
     * Takes a whole array.
     *
     * @param array the bytes; not copied
     * @return the range
     */
    public static Bytes of(byte[] array) {
        return new Bytes(array, 0, array.length);
    }

    /**
     * Counts what is left.
     *
     * @return the bytes
     */
    public int remaining() {
        return to - from;
    }

    /**
     * Uses up bytes.
     *
     * @param count how many
     * @return a copy of them
     */
    public byte[] take(int count) {
        byte[] taken = Arrays.copyOfRange(array, from, from + count);
        from += count;
        return taken;
    }

    byte next() {
        return array[from++];
    }

    void skip(int count) {
        from += count;
    }

    void peek(byte[] into, int at) {
        System.arraycopy(array, from, into, at, remaining());
    }
}
