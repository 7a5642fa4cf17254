package org.hornbeamhead.core.limit;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * What a router tells other routers about replicas with a request limit, in one datagram. Each hint replaces the one
 * before it, so that lost, repeated and reordered hints do no harm.
 *
 * @param life a random number that identifies one run of the router
 * @param sequence the number of the hint in that run
 * @param entries the replicas
 */
public record LimitHint(long life, int sequence, List<Entry> entries) {
    /** As many replicas as fit into one datagram on any path. */
    public static final int MAX_ENTRIES = 16;

    /** The first byte; no other datagram between routers starts with it. */
    private static final byte FORMAT_MARKER = (byte) 0xCB;

    private static final int HEADER_BYTES = 14;
    private static final int ENTRY_BYTES = 21;
    private static final int MAX_COUNT = 255;

    /**
     * One replica.
     *
     * @param replica a hash of the name of its run
     * @param statement what the router's own requests were answered last, empty if it has had no answer
     * @param sendsByAge the requests that the router sent by time slot, the present slot first
     */
    public record Entry(int replica, Optional<Statement> statement, List<Integer> sendsByAge) {
        /** Copies the numbers, of which those of older slots are dropped. */
        public Entry {
            sendsByAge = sendsByAge.stream().limit(RecentSends.SLOTS).toList();
        }
    }

    /**
     * What an answer of a replica stated.
     *
     * @param requestsPerSecond the limit; infinite if the answer stated none
     * @param requestedAgeMillis the time since the request was sent
     * @param answeredAgeMillis the time since the answer arrived
     */
    public record Statement(double requestsPerSecond, int requestedAgeMillis, int answeredAgeMillis) {
        static Statement of(StatedLimit limit, long nowMillis) {
            return new Statement(
                    limit.requestsPerSecond(),
                    age(limit.requestedMillis(), nowMillis),
                    age(limit.answeredMillis(), nowMillis));
        }

        private static int age(long millis, long nowMillis) {
            return (int) Math.max(0, Math.min(Integer.MAX_VALUE, nowMillis - millis));
        }

        private boolean isValid() {
            return requestsPerSecond >= 0 && answeredAgeMillis >= 0 && requestedAgeMillis >= answeredAgeMillis;
        }
    }

    /** Copies the entries, of which at most {@value #MAX_ENTRIES} fit. */
    public LimitHint {
        entries = List.copyOf(entries);
        if (entries.size() > MAX_ENTRIES) {
            throw new IllegalArgumentException(entries.size() + " replicas do not fit into one datagram");
        }
    }

    /**
     * Encodes the hint.
     *
     * @return the datagram
     */
    public byte[] encode() {
        int slots = entries.stream().mapToInt(e -> e.sendsByAge().size()).sum();
        ByteBuffer out = ByteBuffer.allocate(HEADER_BYTES + entries.size() * ENTRY_BYTES + slots);
        out.put(FORMAT_MARKER).putLong(life).putInt(sequence).put((byte) entries.size());
        entries.forEach(e -> encode(e, out));
        return out.array();
    }

    /** Encodes an entry; without a statement, the limit is not a number. */
    private static void encode(Entry entry, ByteBuffer out) {
        Statement s = entry.statement().orElse(new Statement(Double.NaN, 0, 0));
        out.putInt(entry.replica())
                .putDouble(s.requestsPerSecond())
                .putInt(s.requestedAgeMillis())
                .putInt(s.answeredAgeMillis())
                .put((byte) entry.sendsByAge().size());
        entry.sendsByAge().forEach(n -> out.put((byte) Math.min(MAX_COUNT, n)));
    }

    /**
     * Returns whether a datagram is a hint of this kind.
     *
     * @param datagram the datagram
     * @return true if it begins like one
     */
    public static boolean hasFormatMarker(byte[] datagram) {
        return datagram.length > 0 && datagram[0] == FORMAT_MARKER;
    }

    /**
     * Decodes a hint.
     *
     * @param datagram the datagram
     * @return the hint, empty if the bytes are not a valid one
     */
    public static Optional<LimitHint> decode(byte[] datagram) {
        ByteBuffer in = ByteBuffer.wrap(datagram);
        if (in.remaining() < HEADER_BYTES || in.get() != FORMAT_MARKER) {
            return Optional.empty();
        }
        long life = in.getLong();
        int sequence = in.getInt();
        int count = in.get() & MAX_COUNT;
        List<Entry> entries = new ArrayList<>();
        while (entries.size() < count) {
            Optional<Entry> entry = decodeEntry(in);
            if (entry.isEmpty()) {
                return Optional.empty();
            }
            entries.add(entry.get());
        }
        return in.hasRemaining() || count > MAX_ENTRIES
                ? Optional.empty()
                : Optional.of(new LimitHint(life, sequence, entries));
    }

    private static Optional<Entry> decodeEntry(ByteBuffer in) {
        if (in.remaining() < ENTRY_BYTES) {
            return Optional.empty();
        }
        int replica = in.getInt();
        Statement statement = new Statement(in.getDouble(), in.getInt(), in.getInt());
        int slots = in.get() & MAX_COUNT;
        boolean isStated = !Double.isNaN(statement.requestsPerSecond());
        if (slots > RecentSends.SLOTS || in.remaining() < slots || (isStated && !statement.isValid())) {
            return Optional.empty();
        }
        List<Integer> sends = new ArrayList<>(slots);
        for (int i = 0; i < slots; i++) {
            sends.add(in.get() & MAX_COUNT);
        }
        return Optional.of(new Entry(replica, Optional.of(statement).filter(s -> isStated), sends));
    }
}
