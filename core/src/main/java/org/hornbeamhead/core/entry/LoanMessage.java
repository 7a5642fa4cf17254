package org.hornbeamhead.core.entry;

import java.nio.ByteBuffer;
import java.util.List;
import java.util.Optional;

/**
 * A datagram by which a router asks others for parts of limits, or lends one. Each answer repeats the question's
 * identity, so that lost, repeated and late ones do no harm.
 *
 * @param kind whether it asks or lends
 * @param life a random number that identifies the run of the router that asks
 * @param question the number of the question in that run
 * @param share the part that is lent, 0 in questions
 */
public record LoanMessage(Kind kind, long life, int question, double share) {
    /** The first byte; no other datagram between routers starts with it. */
    private static final byte FORMAT_MARKER = (byte) 0xD3;

    /** The kinds in the order of their codes. */
    private static final List<Kind> KINDS = List.of(Kind.QUESTION, Kind.LOAN);

    private static final int BYTES = 2 + Long.BYTES + Integer.BYTES + Double.BYTES;

    /** What a datagram is for. */
    public enum Kind {
        /** Asks for a loan. */
        QUESTION,
        /** Answers a question with a loan. */
        LOAN
    }

    /**
     * Encodes the message.
     *
     * @return the datagram
     */
    public byte[] encode() {
        return ByteBuffer.allocate(BYTES)
                .put(FORMAT_MARKER)
                .put((byte) KINDS.indexOf(kind))
                .putLong(life)
                .putInt(question)
                .putDouble(share)
                .array();
    }

    /**
     * Decodes a message.
     *
     * @param datagram the datagram
     * @return the message, empty if the bytes are not a valid one
     */
    public static Optional<LoanMessage> decode(byte[] datagram) {
        if (datagram.length != BYTES || datagram[0] != FORMAT_MARKER) {
            return Optional.empty();
        }
        ByteBuffer in = ByteBuffer.wrap(datagram, 1, datagram.length - 1);
        int kind = in.get();
        if (kind < 0 || kind >= KINDS.size()) {
            return Optional.empty();
        }
        LoanMessage message = new LoanMessage(KINDS.get(kind), in.getLong(), in.getInt(), in.getDouble());
        // A router lends no more than half of its part, even if it is the only one.
        return message.share() >= 0 && message.share() <= ActiveRouters.LENT_HALF
                ? Optional.of(message)
                : Optional.empty();
    }
}
