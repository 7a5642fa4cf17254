package org.hornbeamhead.core.limit;

import java.nio.ByteBuffer;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;

/**
 * What a router tells other routers about brittle replicas, in one datagram. Each hint replaces the one before it, so
 * that lost, repeated and reordered hints do no harm.
 *
 * @param life a random number that identifies one run of the router
 * @param sequence the number of the hint in that run
 * @param entries the replicas
 */
public record BrittleHint(long life, int sequence, List<Entry> entries) {
    /** As many replicas as fit into one datagram on any path. */
    public static final int MAX_ENTRIES = 100;

    /** The first byte; no other datagram between routers starts with it. */
    private static final byte FORMAT_MARKER = (byte) 0xCF;

    private static final int HEADER_BYTES = 14;
    private static final int ENTRY_BYTES = 9;
    private static final int MAX_UNSIGNED_BYTE = 0xff;

    /**
     * One replica.
     *
     * @param replica a hash of the name of its run
     * @param tolerance the rejections a second that it bears from all routers
     * @param rejections the requests of the sender that it turned away in the last second
     */
    public record Entry(int replica, int tolerance, int rejections) {}

    /** Copies the entries, of which at most {@value #MAX_ENTRIES} fit. */
    public BrittleHint {
        entries = entries.stream().limit(MAX_ENTRIES).toList();
    }

    /**
     * Encodes the hint.
     *
     * @return the datagram
     */
    public byte[] encode() {
        ByteBuffer out = ByteBuffer.allocate(HEADER_BYTES + entries.size() * ENTRY_BYTES);
        out.put(FORMAT_MARKER).putLong(life).putInt(sequence).put((byte) entries.size());
        entries.forEach(e ->
                out.putInt(e.replica()).putInt(e.tolerance()).put((byte) Math.min(MAX_UNSIGNED_BYTE, e.rejections())));
        return out.array();
    }

    /**
     * Decodes a hint.
     *
     * @param datagram the datagram
     * @return the hint, empty if the bytes are not a valid one
     */
    public static Optional<BrittleHint> decode(byte[] datagram) {
        if (datagram.length < HEADER_BYTES || datagram[0] != FORMAT_MARKER) {
            return Optional.empty();
        }
        ByteBuffer in = ByteBuffer.wrap(datagram, 1, datagram.length - 1);
        long life = in.getLong();
        int sequence = in.getInt();
        int count = in.get() & MAX_UNSIGNED_BYTE;
        if (count > MAX_ENTRIES || in.remaining() != count * ENTRY_BYTES) {
            return Optional.empty();
        }
        List<Entry> entries = IntStream.range(0, count)
                .mapToObj(i -> new Entry(in.getInt(), in.getInt(), in.get() & MAX_UNSIGNED_BYTE))
                .toList();
        boolean isValid = entries.stream().allMatch(e -> e.tolerance() >= 0);
        return isValid ? Optional.of(new BrittleHint(life, sequence, entries)) : Optional.empty();
    }
}
