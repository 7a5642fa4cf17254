package org.hornbeamhead.core.resume;

import java.nio.ByteBuffer;
import java.util.Optional;
import java.util.stream.IntStream;
import java.util.stream.LongStream;

/** The binary form of {@link OriginMessage}: the marker, the kind and a list of numbers of eight bytes. */
final class OriginMessageFormat {
    static final byte ANNOUNCEMENT = 1;
    static final byte QUESTION = 2;
    static final byte ANSWER = 3;

    private static final int HEADER_BYTES = 2;

    private OriginMessageFormat() {}

    static byte[] encode(byte kind, LongStream values) {
        long[] numbers = values.toArray();
        ByteBuffer out = ByteBuffer.allocate(HEADER_BYTES + numbers.length * Long.BYTES);
        out.put(OriginMessage.FORMAT_MARKER).put(kind).asLongBuffer().put(numbers);
        return out.array();
    }

    static Optional<OriginMessage> decode(byte[] datagram) {
        boolean isWhole = datagram.length > HEADER_BYTES && (datagram.length - HEADER_BYTES) % Long.BYTES == 0;
        if (!isWhole || datagram[0] != OriginMessage.FORMAT_MARKER) {
            return Optional.empty();
        }
        long[] numbers = new long[(datagram.length - HEADER_BYTES) / Long.BYTES];
        ByteBuffer.wrap(datagram, HEADER_BYTES, datagram.length - HEADER_BYTES)
                .asLongBuffer()
                .get(numbers);
        return decode(datagram[1], numbers);
    }

    private static Optional<OriginMessage> decode(byte kind, long[] numbers) {
        if (kind == ANNOUNCEMENT && numbers.length % 2 == 0 && numbers.length <= 2 * OriginMessage.MAX_ORIGINS) {
            return Optional.of(new OriginMessage.Announcement(IntStream.range(0, numbers.length / 2)
                    .mapToObj(i ->
                            new StreamOrigin(new StreamKey(numbers[2 * i]), new SoftwareVersion(numbers[2 * i + 1])))
                    .toList()));
        }
        if (kind == QUESTION && numbers.length == 1) {
            return Optional.of(new OriginMessage.Question(new StreamKey(numbers[0])));
        }
        if (kind == ANSWER && numbers.length <= 2) {
            Optional<SoftwareVersion> software =
                    numbers.length == 2 ? Optional.of(new SoftwareVersion(numbers[1])) : Optional.empty();
            return Optional.of(new OriginMessage.Answer(new StreamKey(numbers[0]), software));
        }
        return Optional.empty();
    }
}
