package org.hornbeamhead.core.load;

import java.nio.ByteBuffer;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.stream.IntStream;

/**
 * The load statements that a router received in responses lately, as sent to other routers in one datagram. A statement
 * is worthless after a second, so that lost, repeated and reordered hints do little harm.
 *
 * @param entries the statements, all with a pace
 */
public record LoadStatementHint(List<Entry> entries) {
    /** As many statements as fit into a datagram of 1,200 bytes. */
    public static final int MAX_ENTRIES = 74;

    /** The first byte; no other datagram between routers starts with it. */
    private static final byte FORMAT_MARKER = (byte) 0xD7;

    private static final int HEADER_BYTES = 2;
    private static final int ENTRY_BYTES = Integer.BYTES + 6 * Short.BYTES;
    private static final int MAX_UNSIGNED_BYTE = 255;
    private static final int MAX_UNSIGNED_SHORT = 65_535;

    /**
     * A statement of one replica.
     *
     * @param replica a hash of the name of its run
     * @param statement the statement
     * @param requestedAgeMillis the time since the request was sent
     * @param answeredAgeMillis the time since the response arrived
     */
    public record Entry(int replica, LoadStatement statement, int requestedAgeMillis, int answeredAgeMillis) {
        /** Checks that the statement has a pace and that its response arrived after the request was sent. */
        public Entry {
            if (!statement.hasPace()) {
                throw new IllegalArgumentException("statement without a pace: " + statement);
            }
            if (answeredAgeMillis < 0 || requestedAgeMillis < answeredAgeMillis) {
                throw new IllegalArgumentException("invalid ages: requested " + requestedAgeMillis
                        + " ms ago, answered " + answeredAgeMillis + " ms ago");
            }
        }

        /** Figures beyond the range of two bytes are encoded as the highest one. */
        private void encode(ByteBuffer out) {
            out.putInt(replica);
            IntStream.of(
                            requestedAgeMillis,
                            answeredAgeMillis,
                            statement.running(),
                            statement.waiting(),
                            statement.slots(),
                            statement.pacePercent().orElseThrow())
                    .forEach(n -> out.putShort((short) Math.min(MAX_UNSIGNED_SHORT, n)));
        }

        private static Entry decode(ByteBuffer in) {
            int replica = in.getInt();
            int requestedAge = unsignedShort(in);
            int answeredAge = unsignedShort(in);
            LoadStatement statement = new LoadStatement(
                    unsignedShort(in), unsignedShort(in), unsignedShort(in), OptionalInt.of(unsignedShort(in)));
            return new Entry(replica, statement, requestedAge, answeredAge);
        }

        private static int unsignedShort(ByteBuffer in) {
            return in.getShort() & MAX_UNSIGNED_SHORT;
        }
    }

    /** Copies the entries, of which at most {@value #MAX_ENTRIES} fit. */
    public LoadStatementHint {
        entries = List.copyOf(entries);
        if (entries.size() > MAX_ENTRIES) {
            throw new IllegalArgumentException(entries.size() + " statements do not fit into one datagram");
        }
    }

    /**
     * Encodes the hint.
     *
     * @return the datagram
     */
    public byte[] encode() {
        ByteBuffer out = ByteBuffer.allocate(HEADER_BYTES + entries.size() * ENTRY_BYTES);
        out.put(FORMAT_MARKER).put((byte) entries.size());
        entries.forEach(e -> e.encode(out));
        return out.array();
    }

    /**
     * Decodes a hint.
     *
     * @param datagram the datagram
     * @return the hint, empty if the bytes are not a valid one
     */
    public static Optional<LoadStatementHint> decode(byte[] datagram) {
        if (datagram.length < HEADER_BYTES || datagram[0] != FORMAT_MARKER) {
            return Optional.empty();
        }
        ByteBuffer in = ByteBuffer.wrap(datagram, 1, datagram.length - 1);
        int count = in.get() & MAX_UNSIGNED_BYTE;
        if (count > MAX_ENTRIES || in.remaining() != count * ENTRY_BYTES) {
            return Optional.empty();
        }
        try {
            return Optional.of(new LoadStatementHint(
                    IntStream.range(0, count).mapToObj(i -> Entry.decode(in)).toList()));
        } catch (IllegalArgumentException e) {
            return Optional.empty();
        }
    }
}
