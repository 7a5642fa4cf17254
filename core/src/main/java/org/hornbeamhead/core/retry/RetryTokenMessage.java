package org.hornbeamhead.core.retry;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;

/**
 * A datagram by which a router asks another one for tokens of a service's retry budget, or gives some. Each answer
 * repeats the question's identity, so that repeated and late ones can be told.
 *
 * @param kind whether it asks or gives
 * @param life a random number that identifies the run of the router that asks
 * @param question the number of the question in that run
 * @param tokens the tokens that are given, 0 in questions
 * @param service the name of the service
 */
public record RetryTokenMessage(Kind kind, long life, int question, double tokens, String service) {
    /** The largest number of tokens that one answer gives. */
    public static final double MAX_TOKENS = 2;

    /** The first byte; no other datagram between routers starts with it. */
    private static final byte FORMAT_MARKER = (byte) 0xD5;

    private static final int HEADER_BYTES = 2 + Long.BYTES + Integer.BYTES + Double.BYTES;
    private static final int MAX_NAME_BYTES = 256;
    /** The kinds in the order of their codes. */
    private static final List<Kind> KINDS = List.of(Kind.QUESTION, Kind.TOKENS);

    /** What a datagram is for. */
    public enum Kind {
        /** Asks for tokens. */
        QUESTION,
        /** Answers a question with tokens. */
        TOKENS
    }

    /**
     * Encodes the message.
     *
     * @return the datagram
     */
    public byte[] encode() {
        byte[] name = service.getBytes(StandardCharsets.UTF_8);
        return ByteBuffer.allocate(HEADER_BYTES + name.length)
                .put(FORMAT_MARKER)
                .put((byte) KINDS.indexOf(kind))
                .putLong(life)
                .putInt(question)
                .putDouble(tokens)
                .put(name)
                .array();
    }

    /**
     * Decodes a message.
     *
     * @param datagram the datagram
     * @return the message, empty if the bytes are not a valid one
     */
    public static Optional<RetryTokenMessage> decode(byte[] datagram) {
        boolean isSized = datagram.length >= HEADER_BYTES && datagram.length <= HEADER_BYTES + MAX_NAME_BYTES;
        if (!isSized || datagram[0] != FORMAT_MARKER) {
            return Optional.empty();
        }
        ByteBuffer in = ByteBuffer.wrap(datagram, 1, datagram.length - 1);
        int kind = in.get();
        if (kind < 0 || kind >= KINDS.size()) {
            return Optional.empty();
        }
        long life = in.getLong();
        int question = in.getInt();
        double tokens = in.getDouble();
        String service = StandardCharsets.UTF_8.decode(in).toString();
        return tokens >= 0 && tokens <= MAX_TOKENS
                ? Optional.of(new RetryTokenMessage(KINDS.get(kind), life, question, tokens, service))
                : Optional.empty();
    }
}
