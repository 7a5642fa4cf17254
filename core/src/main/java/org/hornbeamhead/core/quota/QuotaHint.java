package org.hornbeamhead.core.quota;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * What a router tells other routers about the use of quotas, in one datagram. The uses are totals since the start of
 * the router, so that lost, repeated and reordered hints do no harm.
 *
 * @param life a random number that identifies one run of the router
 * @param sequence the number of the hint in that run
 * @param informed whether the router knows what other routers have admitted, so that others may rely on what it tells
 *     of the buckets
 * @param idle whether the router has no callers and will send no hints until it has some
 * @param uses the use of some customers' quotas
 */
public record QuotaHint(long life, int sequence, boolean informed, boolean idle, List<Use> uses) {
    /** As many customers as fit into one datagram on any path. */
    public static final int MAX_USES = 55;

    /** The first byte; no other datagram between routers starts with it. */
    private static final byte FORMAT_MARKER = (byte) 0xC9;

    private static final int HEADER_BYTES = 15;
    private static final int USE_BYTES = 20;
    private static final int INFORMED_BIT = 1;
    private static final int IDLE_BIT = 2;

    /**
     * The use of one customer's quota.
     *
     * @param customer a hash of the customer's name
     * @param admittedUnits the units that the router admitted since its start
     * @param missingUnits what is missing in the customer's bucket until it is full, as seen by the router
     */
    public record Use(long customer, long admittedUnits, float missingUnits) {}

    /** Copies the uses, of which at most {@value #MAX_USES} fit. */
    public QuotaHint {
        uses = List.copyOf(uses);
        if (uses.size() > MAX_USES) {
            throw new IllegalArgumentException(uses.size() + " uses do not fit into one datagram");
        }
    }

    /**
     * Encodes the hint.
     *
     * @return the datagram
     */
    public byte[] encode() {
        ByteBuffer out = ByteBuffer.allocate(HEADER_BYTES + uses.size() * USE_BYTES);
        out.put(FORMAT_MARKER)
                .putLong(life)
                .putInt(sequence)
                .put((byte) ((informed ? INFORMED_BIT : 0) | (idle ? IDLE_BIT : 0)))
                .put((byte) uses.size());
        uses.forEach(u -> out.putLong(u.customer()).putLong(u.admittedUnits()).putFloat(u.missingUnits()));
        return out.array();
    }

    /**
     * Decodes a hint.
     *
     * @param datagram the datagram
     * @return the hint, empty if the bytes are not a valid one
     */
    public static Optional<QuotaHint> decode(byte[] datagram) {
        ByteBuffer in = ByteBuffer.wrap(datagram);
        if (in.remaining() < HEADER_BYTES || in.get() != FORMAT_MARKER) {
            return Optional.empty();
        }
        long life = in.getLong();
        int sequence = in.getInt();
        int flags = in.get();
        int count = in.get() & 0xff;
        if (flags < 0 || flags > (INFORMED_BIT | IDLE_BIT) || count > MAX_USES || in.remaining() != count * USE_BYTES) {
            return Optional.empty();
        }
        List<Use> uses = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            Use use = new Use(in.getLong(), in.getLong(), in.getFloat());
            if (!Float.isFinite(use.missingUnits())) {
                return Optional.empty();
            }
            uses.add(use);
        }
        return Optional.of(new QuotaHint(life, sequence, (flags & INFORMED_BIT) != 0, (flags & IDLE_BIT) != 0, uses));
    }
}
